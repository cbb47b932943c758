/** Applies the probe results of other daemons, received by gossip, to the target table. */
import type { MergedTarget, TargetTable } from '@marjoramcart/core';

export function applyProbeResults(
  targets: TargetTable,
  merged: readonly MergedTarget[],
  nowMs: number,
): void {
  merged.forEach(({ prober, item, confirmed }) => {
    const { vm, failures, ...report } = item;
    if (confirmed && targets.confirm(vm, prober, nowMs)) return;
    const reportedAt = nowMs - item.ageMs;
    targets.setProbeResult(vm, prober, { report, failures, reportedAt, receivedAt: nowMs });
  });
}
