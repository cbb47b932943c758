/** Finds remote regions that could take a call, from the state that their gateways advertise. */
import {
  GatewayPhase,
  SharedPrefixAffinity,
  allowsRegion,
  sharedPrefixOf,
  type GatewayRecord,
  type RandomSource,
  type RegionOption,
  type RegionSummary,
  type RegionWork,
  type VersionScope,
} from '@marjoramcart/core';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { GatewayState } from '../state/gateway-state.js';
import { RecentForwards } from './recent-forwards.js';

/** Lifetime of the cached list of gateways. */
const GATEWAYS_LIFETIME_MS = 100;
/** Time by which a gateway that leaves may have ended before its grace period seems to be over. */
const END_MARGIN_MS = 1000;
/** Phases in which a gateway that leaves still serves forwarded requests. */
const SERVING_PHASES: ReadonlySet<GatewayPhase> = new Set([
  GatewayPhase.Draining,
  GatewayPhase.Finishing,
]);

/** Gateways of one region that serve forwarded requests. */
interface ServingRegion {
  readonly region: string;
  readonly ready: readonly GatewayRecord[];
  /** Gateways that leave. */
  readonly leaving: readonly GatewayRecord[];
  readonly summary: RegionSummary;
}

/** Gateways of one region to which a certain call may be forwarded. */
interface CandidateRegion {
  readonly region: string;
  readonly nodes: readonly GatewayRecord[];
  readonly summary: RegionSummary;
}

export interface RemoteRegionsDeps {
  readonly region: string;
  readonly state: GatewayState;
  readonly gossip: Pick<GossipTask, 'table' | 'roundTripMs'>;
  readonly random: RandomSource;
  /** Number of gateways of the local region that may forward to remote regions. */
  readonly senderCount: () => number;
  /** Longest time from the stop signal to the end of a gateway, ms. */
  readonly graceMs: number;
}

export class RemoteRegions {
  private readonly recentForwards = new RecentForwards();

  private readonly affinity = new SharedPrefixAffinity();

  private serving: readonly ServingRegion[] = [];

  private servingAt = -Infinity;

  constructor(private readonly deps: RemoteRegionsDeps) {}

  /** Remote regions that could run a call. */
  options(call: Call, scope: VersionScope, now: number): RegionOption[] {
    const { state } = this.deps;
    const regions = this.servingRegions(now)
      .filter(
        ({ region, summary }) =>
          summary.work[call.service] !== undefined &&
          mayRunIn(call, region, state) &&
          (scope.kind === 'any' ||
            (scope.kind === 'only' && state.servesVersion(region, call.service, scope.version))),
      )
      .map((region): CandidateRegion => ({ ...region, nodes: this.nodesFor(call, region) }))
      .filter(({ nodes }) => nodes.length > 0);
    const shared = call.head.prompt ? sharedPrefixOf(call.head.prompt) : undefined;
    const preferredRegion =
      shared === undefined ? undefined : this.preferredRegion(call, shared, regions);
    return regions.map((region) => {
      const key = keyOf(region.region, call.service);
      const sharedPrefixCached =
        shared !== undefined &&
        (preferredRegion === region.region || this.recentForwards.hasSharedPrefix(key, shared));
      return this.regionOption(call, region, sharedPrefixCached, now);
    });
  }

  onSend(call: Call, region: string, prefillMs: number, now: number): void {
    const { prompt } = call.head;
    const shared = prompt ? sharedPrefixOf(prompt) : undefined;
    this.recentForwards.onSend(keyOf(region, call.service), prefillMs, shared, now);
  }

  private servingRegions(now: number): readonly ServingRegion[] {
    if (now - this.servingAt >= GATEWAYS_LIFETIME_MS) {
      this.servingAt = now;
      this.serving = this.findServing(now);
    }
    return this.serving;
  }

  private findServing(now: number): ServingRegion[] {
    const { gossip, region: localRegion } = this.deps;
    const { table } = gossip;
    const byRegion = new Map<string, GatewayRecord[]>();
    table
      .alive(now)
      .filter(({ region, cutOff }) => region !== localRegion && cutOff !== true)
      .forEach((record) => {
        byRegion.set(record.region, [...(byRegion.get(record.region) ?? []), record]);
      });
    return [...byRegion].flatMap(([region, nodes]) => {
      const summary = table.summaryOf(region, now);
      const ready = nodes.filter(({ phase }) => phase === GatewayPhase.Ready);
      const leaving = nodes.filter(({ phase }) => SERVING_PHASES.has(phase));
      return summary ? [{ region, ready, leaving, summary }] : [];
    });
  }

  /** Ready gateways; without any, those that leave and outlive the call. */
  private nodesFor({ facts }: Call, { ready, leaving }: ServingRegion): readonly GatewayRecord[] {
    if (ready.length > 0) return ready;
    const { gossip, graceMs } = this.deps;
    return leaving.filter(({ node }) => {
      const leavingAt = gossip.table.leavingAt(node) ?? -Infinity;
      return facts.deadlineAt <= leavingAt + graceMs - END_MARGIN_MS;
    });
  }

  private regionOption(
    call: Call,
    { region, nodes, summary }: CandidateRegion,
    sharedPrefixCached: boolean,
    now: number,
  ): RegionOption {
    const { gossip, random, senderCount } = this.deps;
    const gateway = nodes[Math.floor(random.next() * nodes.length)] as GatewayRecord;
    const workAgeMs = gossip.table.summaryOf(region, now)?.ageMs ?? summary.ageMs;
    const sent = this.recentForwards.since(keyOf(region, call.service), now - workAgeMs);
    const gateways = senderCount();
    return {
      region,
      node: gateway.node,
      work: summary.work[call.service] as RegionWork,
      workAgeMs,
      roundTripMs: gossip.roundTripMs(gateway.node),
      // The other gateways are assumed to have forwarded as much as this one.
      sentSinceSummary: {
        requests: sent.requests * gateways,
        prefillMs: sent.prefillMs * gateways,
      },
      sharedPrefixCached,
    };
  }

  /** Preferred region of a shared prefix, among those that may run the call. */
  private preferredRegion(
    call: Call,
    shared: string,
    candidates: readonly CandidateRegion[],
  ): string | undefined {
    const { region: localRegion, state } = this.deps;
    const localTargets = mayRunIn(call, localRegion, state)
      ? state.usableTargets(call.service).length
      : 0;
    const regions = candidates
      .map(({ region, summary }) => ({
        region,
        targets: summary.work[call.service]?.targets ?? 0,
      }))
      .concat({ region: localRegion, targets: localTargets })
      .sort((a, b) => (a.region < b.region ? -1 : 1));
    return this.affinity.preferredRegion(shared, regions);
  }
}

/**
 * Whether a call may run in a region. If the configuration has changed since its arrival, both have to
 * allow the region, since a gateway there may have either in force.
 */
export function mayRunIn(call: Call, region: string, state: GatewayState): boolean {
  const customers = [call.customer, state.customerInForce(call)].filter(
    (customer) => customer !== undefined,
  );
  return [call.route, state.routeInForce(call), ...customers].every(({ regions }) =>
    allowsRegion(regions, region),
  );
}

function keyOf(region: string, service: string): string {
  return `${region} ${service}`;
}
