import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
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
    allowedRegions: [],
  };
}

const table = new RouteTable([
  route('root', 'a.example', '/'),
  route('deep', 'a.example', '/x/y/'),
  route('short', 'a.example', '/x/'),
  route('other', 'b.example', '/x/'),
]);

test('the longest prefix of the host wins', () => {
  const found = [
    ['a.example', '/x/y/z'],
    ['A.example:8080', '/x/q?path=/x/y/'],
    ['a.example', '/x'],
    ['b.example', '/y/'],
    ['c.example', '/'],
  ].map(([host = '', path = '']) => table.match(host, path)?.name);
  assert.deepEqual(found, ['deep', 'short', 'root', undefined, undefined]);
});

test('a host allows the regions that all its bound routes allow', () => {
  const bound = (prefix: string, allowedRegions: string[]): Route => ({
    ...route(prefix, 'a.example', prefix),
    allowedRegions,
  });
  const hosts = new RouteTable([
    bound('/a/', ['n', 'w']),
    bound('/b/', ['w', 's']),
    bound('/', []),
  ]);
  assert.deepEqual(hosts.allowedRegions('a.example'), ['w']);
  assert.deepEqual(table.allowedRegions('a.example'), []);
});

test('services are drawn by their weights', () => {
  const random = seededRandom(7);
  const drawn = Array.from({ length: 1000 }, () => pickWeightedService(route('r', 'h', '/'), random));
  const share = drawn.filter((service) => service === 'two').length / drawn.length;
  assert.ok(share > 0.07 && share < 0.13, String(share));
});
