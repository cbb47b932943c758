/** Fleet of real gossip tasks, tables and codecs on a network that loses datagrams. */
import { GatewayPhase, seededRandom } from '@marjoramcart/core';
import { ManualTimerService, type Logger } from '@marjoramcart/runtime';
import type { GatewaySettings } from '../settings.js';
import { GossipTask } from './gossip-task.js';
import { LossyNetwork } from './lossy-network.test-support.js';
import { NO_SIGNALS } from './signal-rows.js';

const SEED = 20261;
const STEP_MS = 10;
const CHECK_INTERVAL_MS = 250;
/** All gateways of a fleet start within this time. */
export const START_SPREAD_MS = 300;
const SEEDS = 3;
/** Bound in which each gateway has to know a fleet after its start or its growth. */
export const DISCOVERY_MS = 3000;
/** Users' bound for control traffic of one gateway. */
export const MAX_BYTES_PER_S = 7000;
/** Time for which a fleet is observed. */
export const OBSERVED_MS = 5000;

const SILENT_LOG = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
} as unknown as Logger;

export interface FleetSize {
  readonly gateways: number;
  readonly regions: number;
}

export class GossipFleet {
  readonly timers = new ManualTimerService();

  readonly gossips = new Map<string, GossipTask>();

  /** How often gateways summed up or stored the load that each one puts on targets. */
  targetWorkReads = 0;

  /** Regions whose gateways reach none of their targets. */
  readonly cutOffRegions = new Set<string>();

  private readonly regionOf = new Map<string, string>();

  readonly network: LossyNetwork;

  private readonly random = seededRandom(SEED);

  constructor(private readonly size: FleetSize) {
    this.network = new LossyNetwork(this.timers, this.regionOf, this.random);
  }

  /** Starts gateways with the given numbers within `START_SPREAD_MS`. */
  add(from: number, to: number): void {
    Array.from({ length: to - from }, (_, index) => from + index).forEach((index) => {
      this.regionOf.set(ipOf(index), regionName(index, this.size.regions));
      const gossip = this.createGossip(index);
      this.timers.after(this.random.next() * START_SPREAD_MS, () => {
        this.gossips.set(nodeOf(index), gossip);
        void gossip.start();
      });
    });
  }

  async run(durationMs: number): Promise<void> {
    const endAt = this.timers.now() + durationMs;
    while (this.timers.now() < endAt) {
      this.timers.advance(STEP_MS);
      this.network.deliver();
      // Lets tasks that are starting go on.
      // eslint-disable-next-line no-await-in-loop
      await Promise.resolve();
    }
  }

  /** Runs for a while; returns the smallest number of gateways that any one knew at any time. */
  async fewestKnownDuring(durationMs: number): Promise<number> {
    const endAt = this.timers.now() + durationMs;
    let fewest = Infinity;
    while (this.timers.now() < endAt) {
      // eslint-disable-next-line no-await-in-loop
      await this.run(CHECK_INTERVAL_MS);
      fewest = Math.min(fewest, this.fewestKnown());
    }
    return fewest;
  }

  stop(index: number): void {
    void this.gossips.get(nodeOf(index))?.stop();
    this.gossips.delete(nodeOf(index));
  }

  /** Names of the live gateways that a gateway knows, itself included. */
  knownTo(gossip: GossipTask): Set<string> {
    return new Set(gossip.table.alive(this.timers.now()).map(({ node }) => node));
  }

  /** Smallest number of other live gateways that any gateway knows. */
  fewestKnown(): number {
    return Math.min(...[...this.gossips.values()].map((gossip) => this.knownTo(gossip).size));
  }

  /** Tells all other gateways at once, as a gateway does when its links are lost or return. */
  announceRegion(region: string): void {
    [...this.gossips]
      .filter(([node]) => this.regionOfNode(node) === region)
      .forEach(([, gossip]) => gossip.announce());
  }

  /** Number of pairs in which a gateway of another region is wrong about whether one is cut off. */
  wrongAboutRegion(region: string): number {
    const expected = this.cutOffRegions.has(region);
    const members = [...this.gossips.keys()].filter((node) => this.regionOfNode(node) === region);
    return [...this.gossips]
      .filter(([node]) => this.regionOfNode(node) !== region)
      .flatMap(([, { table }]) => members.map((node) => table.get(node)?.cutOff ?? false))
      .filter((cutOff) => cutOff !== expected).length;
  }

  private regionOfNode(node: string): string {
    return regionName(Number(node.split('-').at(-1)), this.size.regions);
  }

  bytesSent(): number {
    return [...this.gossips.values()].reduce((sum, { traffic }) => sum + traffic, 0);
  }

  private createGossip(index: number): GossipTask {
    const settings = {
      node: nodeOf(index),
      ip: ipOf(index),
      region: regionName(index, this.size.regions),
      failureDomain: `${regionName(index, this.size.regions)}-a`,
      seedIps: Array.from({ length: SEEDS }, (_, seed) => ipOf(seed)),
    } as unknown as GatewaySettings;
    const work = { targets: 54, slots: 648, requests: 400, backlogMs: 900 };
    const memory = { memoryTokens: 9_000_000, memoryCapacityTokens: 19_000_000 };
    return new GossipTask(
      settings,
      this.timers,
      seededRandom(SEED + index),
      SILENT_LOG,
      () => ({
        phase: GatewayPhase.Ready,
        configVersion: 3,
        revision: 100,
        era: 1,
        cutOff: this.cutOffRegions.has(settings.region),
        regionWork: { 'marjoram-llm': { ...work, ...memory }, 'crew-app': { ...work, ...memory } },
        targetWork: () => {
          this.targetWorkReads += 1;
          return {};
        },
        suspects: [],
        signals: () => NO_SIGNALS,
        usage: () => [],
        demands: () => [],
      }),
      {
        onTargetWork: () => {
          this.targetWorkReads += 1;
        },
        onTargetUpdate: () => undefined,
        onFleetUpdate: () => undefined,
        onStreamUpdate: () => undefined,
        onSuspects: () => undefined,
        onSignals: () => undefined,
        onUsage: () => undefined,
        onQuotaMessage: () => undefined,
        onDemands: () => undefined,
        onRecord: () => undefined,
      },
      this.network.port(ipOf(index)),
    );
  }
}

export function nodeOf(index: number): string {
  return `front-north-a-${index}`;
}

function ipOf(index: number): string {
  return `10.${Math.floor(index / 250)}.0.${(index % 250) + 1}`;
}

export function regionName(index: number, regions: number): string {
  return `region-${index % regions}`;
}

/** Largest fleet of today, and the one that is planned for two years from now. */
export const SIZES: readonly FleetSize[] = [
  { gateways: 195, regions: 3 },
  { gateways: 320, regions: 12 },
];
