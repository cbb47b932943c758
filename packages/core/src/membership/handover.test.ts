import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GatewayPhase } from './gateway-table.js';
import { canHandOver, type RegionGateway } from './handover.js';

const STARTED_AT = 10_000;

function other(phase: GatewayPhase, leavingAt?: number, node = 'vm-1'): RegionGateway {
  return { node, phase, leavingAt };
}

function handsOver(...others: RegionGateway[]): boolean {
  return canHandOver('vm-2', STARTED_AT, others);
}

test('a leaving gateway hands over to one that is ready or that leaves later', () => {
  assert.equal(handsOver(other(GatewayPhase.Ready)), true);
  assert.equal(handsOver(other(GatewayPhase.Draining, 11_000)), true);
});

// Guards against a region whose gateways all stop accepting requests before one has restarted.
test('the last gateway of a region that accepts requests does not hand over', () => {
  assert.equal(handsOver(), false);
  const gone = [GatewayPhase.Starting, GatewayPhase.Finishing, GatewayPhase.Closing];
  const others = gone.map((phase) => other(phase, 12_000));
  assert.equal(handsOver(...others, other(GatewayPhase.Draining, 9000)), false);
});

test('of two gateways that leave at the same moment exactly one hands over', () => {
  const first = canHandOver('vm-2', STARTED_AT, [other(GatewayPhase.Draining, 10_120, 'vm-1')]);
  const second = canHandOver('vm-1', 10_050, [other(GatewayPhase.Draining, 10_080, 'vm-2')]);
  assert.deepEqual([first, second], [false, true]);
});
