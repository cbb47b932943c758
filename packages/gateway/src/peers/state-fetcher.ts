/** Fetches the fleet state from other gateways when this gateway does not get it from the source. */
import {
  isOlderRevision,
  type GatewayRecord,
  type GatewayTable,
  type RandomSource,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import { fetchFleetState } from './fleet-rpc.js';

/** Shortest time between the starts of two fetches. */
const MIN_INTERVAL_MS = 500;
/** Limit of fetches in flight, so that gateways that do not respond don't hold up the others. */
const MAX_IN_FLIGHT = 3;
/** A newer configuration that is known for this time is fetched; the source may deliver it before. */
const CONFIG_GRACE_MS = 500;
/** The same for a newer revision of the targets, which updates usually deliver. */
const REVISION_GRACE_MS = 1500;
/** A gateway is not asked again within this time if others can be asked. */
const RETRY_SAME_MS = 3000;

export interface StateFetcherDeps {
  readonly settings: Pick<GatewaySettings, 'region' | 'peerRpcPort'>;
  readonly state: GatewayState;
  readonly table: GatewayTable;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: Logger;
}

export class StateFetcher {
  private inFlight = 0;

  private lastFetchAt = -Infinity;

  /** When each gateway was last asked, monotonic ms. */
  private readonly askedAt = new Map<string, number>();

  constructor(private readonly deps: StateFetcherDeps) {}

  /** Fetches from another gateway if a newer state has been known for too long. */
  check(): void {
    const { state } = this.deps;
    if (!this.mayStart()) return;
    const isNeeded =
      state.config === undefined ||
      state.configBehindMs >= CONFIG_GRACE_MS ||
      state.revisionBehindMs >= REVISION_GRACE_MS;
    const record = isNeeded ? this.chooseGateway() : undefined;
    if (record) this.start(record);
  }

  /** Fetches from a gateway whose update could not be applied. */
  fetchFrom(node: string): void {
    const record = this.deps.table.get(node);
    if (record && this.mayStart()) this.start(record);
  }

  private mayStart(): boolean {
    const sinceLastMs = this.deps.timers.now() - this.lastFetchAt;
    return this.inFlight < MAX_IN_FLIGHT && sinceLastMs >= MIN_INTERVAL_MS;
  }

  /** A live gateway with a newer state: preferably one not asked lately, and one of the local region. */
  private chooseGateway(): GatewayRecord | undefined {
    const { settings, state, table, timers, random } = this.deps;
    const now = timers.now();
    const version = state.config?.version ?? 0;
    const newer = table
      .alive(now)
      .filter(({ configVersion, revision, era = state.era }) =>
        state.configBehindMs > 0
          ? configVersion > version
          : isOlderRevision(state, { era, revision }),
      );
    const rest = newer.filter(
      ({ node }) => now - (this.askedAt.get(node) ?? -Infinity) >= RETRY_SAME_MS,
    );
    const askable = rest.length > 0 ? rest : newer;
    const local = askable.filter(({ region }) => region === settings.region);
    const choice = local.length > 0 ? local : askable;
    return choice[Math.floor(random.next() * choice.length)];
  }

  private start(record: GatewayRecord): void {
    const now = this.deps.timers.now();
    this.forgetOld(now);
    this.askedAt.set(record.node, now);
    this.inFlight += 1;
    this.lastFetchAt = now;
    this.fetch(record).finally(() => {
      this.inFlight -= 1;
    });
  }

  private forgetOld(now: number): void {
    [...this.askedAt]
      .filter(([, at]) => now - at >= RETRY_SAME_MS)
      .forEach(([node]) => this.askedAt.delete(node));
  }

  private async fetch({ node, ip, configVersion, revision }: GatewayRecord): Promise<void> {
    const { settings, state, log } = this.deps;
    const behind = {
      config_behind_ms: Math.round(state.configBehindMs),
      revision_behind_ms: Math.round(state.revisionBehindMs),
    };
    try {
      const fetched = await fetchFleetState(`${ip}:${settings.peerRpcPort}`, state.era);
      if (!fetched) return;
      log.info('state fetched from another gateway', {
        node,
        version: fetched.config.version,
        era: fetched.era,
        revision: fetched.revision,
        source_age_ms: Math.round(state.sourceAgeMs),
        ...behind,
      });
      state.applyFromPeer(fetched, node);
    } catch (err) {
      log.warn('state could not be fetched from another gateway', {
        node,
        version: configVersion,
        revision,
        ...behind,
        err,
      });
    }
  }
}
