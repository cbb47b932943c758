/** Summaries of failure domains, by which entries in tests know each other. */
import type { DomainSummary } from '@marjoramcart/core';
import { until, type Harness } from './harness.js';

/** Summary that a control daemon would tell of the failure domain of an entry. */
export function summaryOf(harness: Harness, ready: number): DomainSummary {
  const { self } = harness.daemon.state;
  return {
    failureDomain: self.failureDomain,
    region: self.region,
    version: 1,
    ageMs: 0,
    services: ['chat', 'booking'].map((service) => ({
      service,
      readyTargets: ready,
      waitMs: 1,
      freeSlots: 8,
    })),
    entries: [
      {
        bootId: self.bootId,
        peerAddress: harness.daemon.peers.address,
        callerAddress: harness.daemon.callers.address,
        draining: false,
        openRequests: 0,
      },
    ],
  };
}

/** Adds summaries of other failure domains to the view of an entry. */
export async function setSummaries(
  to: Harness,
  summaries: readonly DomainSummary[],
): Promise<void> {
  to.control.setView({ summaries });
  const { version } = to.control.view;
  await until(() => to.daemon.state.view.version === version);
}
