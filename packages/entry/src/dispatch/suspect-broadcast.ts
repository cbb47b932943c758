/**
 * Reports a request that crashed a target to other entries immediately. Gossip between regions
 * takes seconds, in which a caller that retries at each entry would crash a target at each.
 */
import { allowedRegionsById, type ProcessRef, type SuspectTable } from '@marjoramcart/core';
import type { RpcClient, TimerService } from '@marjoramcart/runtime';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';

/** Covers a round trip between regions; entries that time out get the report through gossip. */
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
   * Resolves when all entries that may know of the call have the report, or after the timeout. The
   * caller gets its response only then, so that a retry at another entry is recognised there.
   */
  async announce(call: Call): Promise<void> {
    const { self, suspects, rpc, timers } = this.deps;
    const records = suspects
      .localRecords(timers.now())
      .filter(({ digest }) => digest === call.digest);
    const calls = this.recipients(call).map((address) =>
      rpc.call(address, 'suspect.report', { from: self, records }, REPORT_TIMEOUT_MS),
    );
    await Promise.all(calls);
  }

  /** Peer addresses of the other entries in the regions that the customer's data may enter. */
  private recipients(call: Call): string[] {
    const { self, state } = this.deps;
    const { config, view } = state;
    if (!config) return [];
    const { service, customer } = call;
    const regions = allowedRegionsById(config, { customer: customer.id, service });
    const local = view.processes
      .map(({ process }) => process)
      .filter(({ role, bootId }) => role === 'entry' && bootId !== self.bootId)
      .map(({ peerAddress }) => peerAddress);
    const remote = view.summaries
      .filter(({ region }) => regions.includes(region))
      .flatMap(({ entries }) => entries.map(({ peerAddress }) => peerAddress));
    return [...new Set([...local, ...remote])].filter((address) => address !== self.peerAddress);
  }
}
