import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { ANY_REGION, NO_REGION } from '../residency/region-scope.js';
import { RouteKind, type Route } from './fleet-config.js';
import { RouteTable, pickWeightedService } from './route-table.js';

function route(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    kind: RouteKind.Single,
    timeoutMs: 1000,
    latencyTargetMs: 100,
    patienceMs: 1000,
    priority: 0,
    services: [
      { service: 'one', weight: 90 },
      { service: 'two', weight: 10 },
    ],
    maxAttempts: 1,
    resumable: false,
    regions: ANY_REGION,
  };
}

const table = new RouteTable([
  route('root', 'a.example', '/'),
  route('deep', 'a.example', '/x/y/'),
  route('short', 'a.example', '/x/'),
  route('other', 'b.example', '/x/'),
]);

test('the route with the longest matching prefix wins', () => {
  const found = [
    ['a.example', '/x/y/z'],
    ['A.example:8080', '/x/q?path=/x/y/'],
    ['a.example', '/x'],
    ['b.example', '/y/'],
    ['c.example', '/'],
  ].map(([host = '', path = '']) => table.match(host, path)?.name);
  assert.deepEqual(found, ['deep', 'short', 'root', undefined, undefined]);
});

function restricted(prefix: string, regions: string[]): Route {
  return { ...route(prefix, 'a.example', prefix), regions: { kind: 'only', regions } };
}

test('a host allows only regions that all its region-restricted routes allow', () => {
  const hosts = new RouteTable([
    restricted('/a/', ['n', 'w']),
    restricted('/b/', ['w', 's']),
    route('rest', 'a.example', '/'),
  ]);
  assert.deepEqual(hosts.residencyOf('a.example'), {
    restrictedRoutes: 2,
    regions: { kind: 'only', regions: ['w'] },
  });
  assert.deepEqual(table.residencyOf('a.example'), { restrictedRoutes: 0, regions: ANY_REGION });
});

// Guards against callers that are led out of all homes because the routes of their host have none in
// common, or because the host is not known yet.
test('a host whose routes have no region in common, or that has no routes, allows no region', () => {
  const hosts = new RouteTable([restricted('/a/', ['n']), restricted('/b/', ['w', 's'])]);
  assert.deepEqual(hosts.residencyOf('a.example'), { restrictedRoutes: 2, regions: NO_REGION });
  assert.deepEqual(hosts.residencyOf('new.example'), { restrictedRoutes: 0, regions: NO_REGION });
});

test('services are picked in proportion to their weights', () => {
  const random = seededRandom(7);
  const picked = Array.from({ length: 1000 }, () =>
    pickWeightedService(route('r', 'h', '/'), random),
  );
  const share = picked.filter((service) => service === 'two').length / picked.length;
  assert.ok(share > 0.07 && share < 0.13, String(share));
});
