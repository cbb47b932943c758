import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReportPollerAssignment } from './report-poller-assignment.js';

const GATEWAYS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
const TARGETS = Array.from({ length: 50 }, (_, index) => `i-${index}`);

function polled(gateways: readonly string[]): string[] {
  return gateways.flatMap((self) =>
    new ReportPollerAssignment().targetsOf(self, gateways, TARGETS),
  );
}

test('each target is polled by exactly one gateway, and few gateways poll', () => {
  assert.deepEqual(polled(GATEWAYS).sort(), [...TARGETS].sort());
  const pollers = GATEWAYS.filter(
    (self) => new ReportPollerAssignment().targetsOf(self, GATEWAYS, TARGETS).length > 0,
  );
  assert.ok(pollers.length <= 7, String(pollers.length));
});

test('the targets of a removed gateway are polled by others', () => {
  const left = GATEWAYS.filter((_, index) => index % 3 !== 0);
  assert.deepEqual(polled(left).sort(), [...TARGETS].sort());
  assert.deepEqual(polled(['vm-1', 'vm-2']), []);
});
