/**
 * Tells other entries at once of a request that a target died of. Gossip takes seconds between
 * regions; a caller that sends the request to each entry in turn would lose a target at each.
 */
import { allowedRegions, type ProcessRef, type SuspectTable } from '@marjoramcart/core';
import type { RpcClient, TimerService } from '@marjoramcart/runtime';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';

/** Covers a round trip between regions; an entry that answers later learns it by gossip. */
const REPORT_TIMEOUT_MS = 500;

export interface SuspectBroadcastDeps {
  readonly self: ProcessRef;
  readonly state: EntryState;
  readonly suspects: SuspectTable;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly timers: Pick<TimerService, 'now'>;
}

export class SuspectBroadcast {
  constructor(private readonly deps: SuspectBroadcastDeps) {}

  /**
   * Resolves when all entries that may know of the call have it, or after the timeout. The caller
   * gets its answer only then, so that a re-send elsewhere meets an entry that knows.
   */
  async announce(call: Call): Promise<void> {
    const { self, suspects, rpc, timers } = this.deps;
    const records = suspects.localRecords(timers.now()).filter(({ digest }) => digest === call.digest);
    const calls = this.recipients(call).map((address) =>
      rpc.call(address, 'suspect.report', { from: self, records }, REPORT_TIMEOUT_MS),
    );
    await Promise.all(calls);
  }

  /** Peer addresses of the other entries in the regions where the customer's data may be. */
  private recipients(call: Call): string[] {
    const { self, state } = this.deps;
    const { config, view } = state;
    if (!config) return [];
    const regions = allowedRegions(config, call.customer, call.config);
    const near = view.processes
      .map(({ process }) => process)
      .filter(({ role, bootId }) => role === 'entry' && bootId !== self.bootId)
      .map(({ peerAddress }) => peerAddress);
    const far = view.summaries
      .filter(({ region }) => regions.includes(region))
      .flatMap(({ entries }) => entries.map(({ peerAddress }) => peerAddress));
    return [...new Set([...near, ...far])].filter((address) => address !== self.peerAddress);
  }
}
