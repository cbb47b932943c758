import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteKind, type Route } from '../fleet/fleet-config.js';
import { RouteUsage } from '../fleet/route-usage.js';
import { ANY_REGION, NO_REGION } from './region-scope.js';
import { toleratedRegions } from './tolerated-regions.js';

const MAX_SHARE = 0.05;

function route(prefix: string, ...regions: string[]): Route {
  return {
    name: prefix,
    host: 'api.example',
    prefix,
    kind: RouteKind.Repeatable,
    timeoutMs: 1000,
    latencyTargetMs: 100,
    patienceMs: 1000,
    priority: 0,
    services: [{ service: 'one', weight: 1 }],
    maxAttempts: 1,
    resumable: false,
    regions: regions.length > 0 ? { kind: 'only', regions } : ANY_REGION,
  };
}

const NORTH = route('/n/', 'north');
const WEST = route('/w/', 'west');
const BOTH = route('/b/', 'north', 'west');
const ANYWHERE = route('/a/');
const ROUTES = [NORTH, WEST, BOTH, ANYWHERE];

function tolerated(counts: readonly (readonly [Route, number])[], routes = ROUTES): string[] {
  const usage = new RouteUsage();
  counts.forEach(([used, count]) =>
    Array.from({ length: count }).forEach(() => usage.onRequest(used)),
  );
  const scope = toleratedRegions(routes, (found) => usage.countOf(found), MAX_SHARE);
  assert.equal(scope.kind, 'only');
  return scope.kind === 'only' ? [...scope.regions] : [];
}

// Guards against callers that have no gateway while their region restarts, because of a route with
// other home regions that nobody uses.
test('a route that callers hardly use excludes no region', () => {
  assert.deepEqual(tolerated([[BOTH, 100]]), ['north', 'west']);
  assert.deepEqual(
    tolerated([
      [BOTH, 95],
      [NORTH, 3],
      [WEST, 2],
    ]),
    ['north', 'west'],
  );
});

// Guards against callers that are led out of the home regions of routes that they do use.
test('a route that callers use excludes the regions that it forbids', () => {
  assert.deepEqual(
    tolerated([
      [BOTH, 90],
      [NORTH, 10],
    ]),
    ['north'],
  );
  assert.deepEqual(
    tolerated([
      [WEST, 50],
      [NORTH, 50],
    ]),
    [],
  );
});

test('no region is tolerated before it is known which routes callers use', () => {
  assert.deepEqual(tolerated([[BOTH, 39]]), []);
  assert.deepEqual(tolerated([[ANYWHERE, 1000]]), []);
});

test('a host without restricted routes tolerates any region, one without routes none', () => {
  assert.deepEqual(
    toleratedRegions([ANYWHERE], () => 0, MAX_SHARE),
    ANY_REGION,
  );
  assert.deepEqual(
    toleratedRegions([], () => 0, MAX_SHARE),
    NO_REGION,
  );
});

test('the usage of a route fades as others are used', () => {
  const mostlyNorth = tolerated([
    [NORTH, 900],
    [BOTH, 90],
  ]);
  assert.deepEqual(mostlyNorth, ['north']);
  const lately = tolerated([
    [NORTH, 900],
    [BOTH, 9000],
  ]);
  assert.deepEqual(lately, ['north', 'west']);
});
