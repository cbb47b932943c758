import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReportPollerAssignment } from './report-duty.js';

const GATEWAYS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
const TARGETS = Array.from({ length: 50 }, (_, index) => `i-${index}`);

function asked(gateways: readonly string[]): string[] {
  return gateways.flatMap((self) => new ReportPollerAssignment().targetsOf(self, gateways, TARGETS));
}

test('each target is asked by one gateway, and few gateways ask', () => {
  assert.deepEqual(asked(GATEWAYS).sort(), [...TARGETS].sort());
  const asking = GATEWAYS.filter(
    (self) => new ReportPollerAssignment().targetsOf(self, GATEWAYS, TARGETS).length > 0,
  );
  assert.ok(asking.length <= 7, String(asking.length));
});

test('the targets of a gateway that is gone are asked by others', () => {
  const left = GATEWAYS.filter((_, index) => index % 3 !== 0);
  assert.deepEqual(asked(left).sort(), [...TARGETS].sort());
  assert.deepEqual(asked(['vm-1', 'vm-2']), []);
});
