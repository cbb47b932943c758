import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANY_REGION, NO_REGION, type RegionScope } from '../residency/region-scope.js';
import { chooseGateways, type ListedGateway } from './directory-choice.js';
import { GatewayPhase } from './gateway-table.js';

function gateway(node: string, region: string, phase: GatewayPhase): ListedGateway {
  return { node, region, phase, ip: '10.0.0.1' };
}

function chosen(
  gateways: ListedGateway[],
  allowed: RegionScope = ANY_REGION,
  tolerated: RegionScope = allowed,
): string[] {
  const choice = chooseGateways(gateways, 'north', { allowed, tolerated: () => tolerated });
  return choice.gateways.map(({ node }) => node);
}

function only(...regions: string[]): RegionScope {
  return { kind: 'only', regions };
}

const WEST = gateway('w', 'west', GatewayPhase.Ready);
const SOUTH = gateway('s', 'south', GatewayPhase.Ready);
const CLOSING = gateway('n1', 'north', GatewayPhase.Closing);

test('a caller stays in its region while a gateway there accepts requests', () => {
  const ready = gateway('n1', 'north', GatewayPhase.Ready);
  const draining = gateway('n2', 'north', GatewayPhase.Draining);
  assert.deepEqual(chosen([ready, draining, WEST]), ['n1']);
  assert.deepEqual(chosen([draining, WEST]), ['n2']);
  assert.deepEqual(chosen([ready, WEST], NO_REGION), ['n1']);
});

test('a host with region-bound routes is served only by gateways in the allowed regions', () => {
  assert.deepEqual(chosen([CLOSING, SOUTH, WEST], only('west', 'north')), ['w']);
  assert.deepEqual(chosen([CLOSING, SOUTH, WEST]), ['s', 'w']);
  const draining = gateway('d', 'west', GatewayPhase.Draining);
  assert.deepEqual(chosen([CLOSING, SOUTH, draining], only('west')), ['d']);
});

// Guards against callers that are led out of the home regions once no gateway accepts requests there.
test('gateways of other regions are not listed while those of the allowed ones accept nothing', () => {
  assert.deepEqual(chosen([CLOSING, SOUTH, WEST], only('east')), []);
  assert.deepEqual(chosen([CLOSING, SOUTH, WEST], NO_REGION), []);
  const starting = gateway('e', 'east', GatewayPhase.Starting);
  assert.deepEqual(chosen([CLOSING, starting, SOUTH], only('east')), []);
});

// Guards against callers that drop a usable response for one with gateways that refuse all requests.
test('gateways that accept no requests are not listed', () => {
  assert.deepEqual(chosen([CLOSING]), []);
  assert.deepEqual(chosen([gateway('n1', 'north', GatewayPhase.Starting)]), []);
  assert.deepEqual(chosen([]), []);
});

test('a gateway that accepts only short requests is listed if no other one may be used', () => {
  const finishing = gateway('n1', 'north', GatewayPhase.Finishing);
  assert.deepEqual(chosen([finishing, WEST]), ['w']);
  assert.deepEqual(chosen([finishing, WEST], NO_REGION), ['n1']);
  const away = gateway('e', 'east', GatewayPhase.Finishing);
  assert.deepEqual(chosen([CLOSING, away, WEST], only('east')), ['e']);
  assert.deepEqual(chosen([finishing, away], only('east')), ['n1']);
});

test('a region that can handle most requests is used if no allowed one accepts all', () => {
  const finishing = gateway('n1', 'north', GatewayPhase.Finishing);
  assert.deepEqual(chosen([finishing, WEST, SOUTH], NO_REGION, only('west')), ['w']);
  assert.deepEqual(chosen([finishing, WEST, SOUTH], only('south'), only('south', 'west')), ['s']);
  const draining = gateway('n2', 'north', GatewayPhase.Draining);
  assert.deepEqual(chosen([draining, WEST], NO_REGION, only('west')), ['n2']);
});
