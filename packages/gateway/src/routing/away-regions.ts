/** Other regions that could take a call, as their gateways tell. */
import {
  GatewayPhase,
  SharedPrefixAffinity,
  sharedPrefixOf,
  type GatewayRecord,
  type RandomSource,
  type RegionOption,
  type RegionWork,
} from '@marjoramcart/core';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { GatewayState } from '../state/gateway-state.js';
import { RecentForwards } from './sent-away.js';

/** Gateways that are ready are looked up anew after this time. */
const READY_LIFETIME_MS = 100;

/** Ready gateways of one region. */
interface ReadyRegion {
  readonly region: string;
  readonly nodes: readonly GatewayRecord[];
  /** The one whose summary of the region is the newest. */
  readonly freshest: GatewayRecord;
}

export interface RemoteRegionsDeps {
  readonly region: string;
  readonly state: GatewayState;
  readonly gossip: Pick<GossipTask, 'table' | 'roundTripMs'>;
  readonly random: RandomSource;
  /** Gateways of the own region that may send to other regions. */
  readonly senders: () => number;
}

export class RemoteRegions {
  private readonly sentAway = new RecentForwards();

  private readonly homes = new SharedPrefixAffinity();

  private ready: readonly ReadyRegion[] = [];

  private readyAt = -Infinity;

  constructor(private readonly parts: RemoteRegionsDeps) {}

  /** Regions other than the own one that could run a call. */
  options(call: Call, now: number): RegionOption[] {
    const ready = this.readyRegions(now).filter(
      ({ region, freshest }) =>
        freshest.regionWork[call.service] !== undefined && allowsRegion(call, region),
    );
    const shared = call.head.prompt ? sharedPrefixOf(call.head.prompt) : undefined;
    const home = shared === undefined ? undefined : this.homeRegion(call, shared, ready);
    return ready.map((region) => {
      const place = placeOf(region.region, call.service);
      const warm =
        shared !== undefined && (home === region.region || this.sentAway.hasSharedPrefix(place, shared));
      return this.option(call, region, warm, now);
    });
  }

  onSend(call: Call, region: string, readMs: number, now: number): void {
    const { prompt } = call.head;
    const shared = prompt ? sharedPrefixOf(prompt) : undefined;
    this.sentAway.onSend(placeOf(region, call.service), readMs, shared, now);
  }

  private readyRegions(now: number): readonly ReadyRegion[] {
    if (now - this.readyAt >= READY_LIFETIME_MS) {
      this.readyAt = now;
      this.ready = this.findReady(now);
    }
    return this.ready;
  }

  private findReady(now: number): ReadyRegion[] {
    const { gossip, region: own } = this.parts;
    const { table } = gossip;
    const byRegion = new Map<string, GatewayRecord[]>();
    table
      .alive(now)
      .filter(({ region, phase }) => region !== own && phase === GatewayPhase.Ready)
      .forEach((record) => {
        byRegion.set(record.region, [...(byRegion.get(record.region) ?? []), record]);
      });
    return [...byRegion.entries()].map(([region, nodes]) => ({
      region,
      nodes,
      freshest: nodes.reduce((best, next) =>
        table.workAgeMs(next.node, now) < table.workAgeMs(best.node, now) ? next : best,
      ),
    }));
  }

  private option(
    call: Call,
    { region, nodes, freshest }: ReadyRegion,
    warm: boolean,
    now: number,
  ): RegionOption {
    const { gossip, random, senders } = this.parts;
    const drawn = nodes[Math.floor(random.next() * nodes.length)] ?? freshest;
    const workAgeMs = gossip.table.workAgeMs(freshest.node, now);
    const sent = this.sentAway.since(placeOf(region, call.service), now - workAgeMs);
    const gateways = senders();
    return {
      region,
      node: drawn.node,
      work: freshest.regionWork[call.service] as RegionWork,
      workAgeMs,
      roundTripMs: gossip.roundTripMs(drawn.node),
      sentSinceSummary: { requests: sent.requests * gateways, readMs: sent.prefillMs * gateways },
      sharedPrefixCached: warm,
    };
  }

  /** Region that a shared part belongs to, among those that may run the call. */
  private homeRegion(
    call: Call,
    shared: string,
    ready: readonly ReadyRegion[],
  ): string | undefined {
    const { region: own, state } = this.parts;
    const ownTargets = allowsRegion(call, own) ? state.usableTargets(call.service).length : 0;
    const regions = ready
      .map(({ region, freshest }) => ({
        region,
        targets: freshest.regionWork[call.service]?.targets ?? 0,
      }))
      .concat({ region: own, targets: ownTargets })
      .sort((a, b) => (a.region < b.region ? -1 : 1));
    return this.homes.preferredRegion(shared, regions);
  }
}

/** Whether the route of a call may run in a region. */
export function allowsRegion({ route }: Call, region: string): boolean {
  return route.allowedRegions.length === 0 || route.allowedRegions.includes(region);
}

function placeOf(region: string, service: string): string {
  return `${region} ${service}`;
}
