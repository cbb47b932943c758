/** Fetches the fleet state from other gateways while this gateway can't reach the source. */
import type { GatewayRecord, GatewayTable } from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import { fetchFleetState } from './fleet-rpc.js';

/** Shortest time between two fetches. */
const MIN_INTERVAL_MS = 500;
/** Nothing is fetched within this time after a contact: a slow source may still send the change. */
const RECENT_CONTACT_MS = 1500;

export class StateFetcher {
  private busy = false;

  private lastFetchAt = -Infinity;

  constructor(
    private readonly state: GatewayState,
    private readonly table: GatewayTable,
    private readonly rpcPort: number,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Fetches from a gateway that has a newer state, unless the source responded recently. */
  fetchIfNewer(record: GatewayRecord): void {
    const { state } = this;
    const version = state.config?.version ?? 0;
    const ahead = record.configVersion > version || record.revision > state.revision;
    const sourceIsRecent =
      version > 0 && !state.sourceLost && state.sourceAgeMs < RECENT_CONTACT_MS;
    if (ahead && !sourceIsRecent) this.start(record);
  }

  /** Fetches from a gateway whose update could not be applied. */
  fetchFrom(node: string): void {
    const record = this.table.get(node);
    if (record) this.start(record);
  }

  private start(record: GatewayRecord): void {
    const now = this.timers.now();
    if (this.busy || now - this.lastFetchAt < MIN_INTERVAL_MS) return;
    this.busy = true;
    this.lastFetchAt = now;
    this.fetch(record).finally(() => {
      this.busy = false;
    });
  }

  private async fetch({ node, ip, configVersion, revision }: GatewayRecord): Promise<void> {
    try {
      const fetched = await fetchFleetState(`${ip}:${this.rpcPort}`);
      if (!fetched) return;
      this.log.info('state fetched from another gateway', {
        node,
        version: fetched.config.version,
        revision: fetched.revision,
        source_age_ms: Math.round(this.state.sourceAgeMs),
        config_behind_ms: Math.round(this.state.configBehindMs),
        revision_behind_ms: Math.round(this.state.revisionBehindMs),
      });
      this.state.applyFromPeer(fetched, node);
    } catch (err) {
      this.log.warn('state could not be fetched from another gateway', {
        node,
        version: configVersion,
        revision,
        err,
      });
    }
  }
}
