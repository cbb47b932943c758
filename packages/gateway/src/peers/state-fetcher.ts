/** Takes the state over from other gateways while the own source is away. */
import type { GatewayRecord, GatewayTable } from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import { fetchFleetState } from './fleet-rpc.js';

/** Time between two fetches. */
const MIN_INTERVAL_MS = 500;
/** A source that is slow to answer may still bring the news itself. */
const SOURCE_PATIENCE_MS = 1500;

export class StateFetcher {
  private busy = false;

  private lastAt = -Infinity;

  constructor(
    private readonly state: GatewayState,
    private readonly table: GatewayTable,
    private readonly rpcPort: number,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {}

  /** Fetches from a gateway that knows more, when the own source does not answer. */
  consider(record: GatewayRecord): void {
    const { state } = this;
    const version = state.config?.version ?? 0;
    const ahead = record.configVersion > version || record.revision > state.revision;
    const patient = version > 0 && !state.sourceLost && state.sourceAgeMs < SOURCE_PATIENCE_MS;
    if (ahead && !patient) this.start(record);
  }

  /** Fetches from a gateway whose news could not be taken over. */
  fetchFrom(node: string): void {
    const record = this.table.get(node);
    if (record) this.start(record);
  }

  private start(record: GatewayRecord): void {
    const now = this.timers.now();
    if (this.busy || now - this.lastAt < MIN_INTERVAL_MS) return;
    this.busy = true;
    this.lastAt = now;
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
      });
      this.state.applyFromPeer(fetched, node);
    } catch (err) {
      this.log.warn('state not fetched', { node, version: configVersion, revision, err });
    }
  }
}
