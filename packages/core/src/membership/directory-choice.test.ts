import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseGateways, type ListedGateway } from './directory-choice.js';
import { GatewayPhase } from './gateway-table.js';

function gateway(node: string, region: string, phase: GatewayPhase): ListedGateway {
  return { node, region, phase, ip: '10.0.0.1' };
}

function chosen(gateways: ListedGateway[], allowed: string[] = []): string[] {
  return chooseGateways(gateways, 'north', allowed).gateways.map(({ node }) => node);
}

const WEST = gateway('w', 'west', GatewayPhase.Ready);
const SOUTH = gateway('s', 'south', GatewayPhase.Ready);

test('a caller stays in its region while a gateway there accepts requests', () => {
  const ready = gateway('n1', 'north', GatewayPhase.Ready);
  const draining = gateway('n2', 'north', GatewayPhase.Draining);
  assert.deepEqual(chosen([ready, draining, WEST]), ['n1']);
  assert.deepEqual(chosen([draining, WEST]), ['n2']);
});

test('a host with region-bound routes is served only by gateways in the allowed regions', () => {
  const closing = gateway('n1', 'north', GatewayPhase.Closing);
  assert.deepEqual(chosen([closing, SOUTH, WEST], ['west', 'north']), ['w']);
  assert.deepEqual(chosen([closing, SOUTH, WEST]), ['s', 'w']);
});

test('the list is not empty while any gateway is known', () => {
  const closing = gateway('n1', 'north', GatewayPhase.Closing);
  assert.deepEqual(chosen([closing, SOUTH], ['east']), ['s']);
  assert.deepEqual(chosen([closing]), ['n1']);
  assert.deepEqual(chosen([]), []);
});
