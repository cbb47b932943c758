/** Test fleet whose engines run several versions of their software. */
import { MODEL_SERVICE, PLAIN_SERVICE, HOST, exampleConfig, type Zone } from './example-config.js';
import { STREAM_TIMEOUT_MS, sendStream, type StreamPart } from './stream-client.js';
import { TargetMode, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

/** Service with engines and a streaming route of its own. */
export const OTHER_SERVICE = `${MODEL_SERVICE}-2`;
export const OTHER_PATH = '/other/x';
/** Time between two events of a stream during which the fleet is changed. */
export const SLOW_EVENT_INTERVAL_MS = 800;
const STATUS_OK = 200;
const WARMUP_S = 5;
/** Route on which callers are only served once the other region is known. */
const REMOTE_ROUTE = {
  name: 'remote',
  prefix: '/remote/',
  kind: 'safe',
  resumable: false,
  service: PLAIN_SERVICE,
  homeRegions: ['west'],
};
const REMOTE_TARGET_INDEX = 20;
const ROSTER_TIMEOUT_MS = 12_000;
/** A new gateway may retry 0.16 times as often as it gets requests. */
const BATCHES_BEFORE_RESUMES = 8;
const BATCH_SIZE = 6;

export class StreamFleet extends TestFleet {
  /** Gateways that run. */
  private readonly nodes = new Set<string>();

  private readonly engines: TargetStandIn[] = [];

  warmupS = WARMUP_S;

  override async start(): Promise<void> {
    const route = {
      host: HOST,
      kind: 'streaming',
      resumable: true,
      timeoutMs: STREAM_TIMEOUT_MS,
      targetLatencyMs: 2000,
      priority: 1,
      maxAttempts: 4,
    };
    const engine = {
      warmupS: this.warmupS,
      coldPerS: 100,
      engine: { slots: 8, kvCapacityTokens: 1e5 },
    };
    await super.start();
    const config = {
      routes: [
        { ...route, name: 'stream', prefix: '/stream/', service: MODEL_SERVICE },
        { ...route, name: 'other', prefix: '/other/', service: OTHER_SERVICE },
        { ...route, ...REMOTE_ROUTE },
      ],
      services: [
        { name: MODEL_SERVICE, ...engine },
        { name: OTHER_SERVICE, ...engine },
        { name: PLAIN_SERVICE },
      ],
    };
    this.store.put('op/config', exampleConfig(4, config));
  }

  /**
   * Starts gateways and waits until they know each other.
   *
   * @param from index of the first one
   */
  async addGateways(from: number, zones: readonly Zone[]): Promise<void> {
    const nodes = await this.startGateways(from, zones);
    await Promise.all(
      nodes.map((node) => this.until(() => this.gateway(node).rosterComplete, ROSTER_TIMEOUT_MS)),
    );
  }

  /** Kills all gateways at once, and starts others under their names until they are ready. */
  async restartGateways(
    zones: readonly Zone[],
    whileDown: () => void = () => undefined,
  ): Promise<void> {
    await Promise.all([...this.nodes].map((node) => this.kill(node)));
    whileDown();
    await this.startGateways(1, zones);
  }

  override async kill(node: string): Promise<void> {
    this.nodes.delete(node);
    await super.kill(node);
  }

  private async startGateways(from: number, zones: readonly Zone[]): Promise<string[]> {
    const nodes = await Promise.all(
      zones.map((zone, index) => this.addGateway(from + index, zone)),
    );
    nodes.forEach((node) => this.nodes.add(node));
    await Promise.all(nodes.map((node) => this.until(() => this.isReady(node))));
    return nodes;
  }

  /** Adds an engine, and waits until all gateways know it. */
  async addEngine(
    index: number,
    version: string,
    zone: Zone,
    { service = MODEL_SERVICE, ...changes }: { service?: string; eventIntervalMs?: number } = {},
  ): Promise<TargetStandIn> {
    const all = { version, tellsVersion: true, ...changes };
    const engine = await this.addTarget(index, service, zone, `i-${index}`, all);
    this.engines.push(engine);
    await this.until(() =>
      [...this.nodes].every((node) => this.gateway(node).state.target(engine.id)),
    );
    return engine;
  }

  /** Adds engines with consecutive indexes. */
  addEngines(from: number, versions: readonly string[], zone: Zone): Promise<TargetStandIn[]> {
    return Promise.all(
      versions.map((version, index) => this.addEngine(from + index, version, zone)),
    );
  }

  /** Takes the entries of engines out of the store. */
  removeEntries(engines: readonly TargetStandIn[]): void {
    engines.forEach(({ id }) => this.store.delete(`servers/${id}`));
  }

  /** Waits until all gateways no longer list an engine. */
  async untilGone(engines: readonly TargetStandIn[]): Promise<void> {
    await this.until(() =>
      [...this.nodes].every((node) =>
        engines.every(({ id }) => {
          const { state } = this.gateway(node);
          return !state.usableTargets(MODEL_SERVICE).some(({ record }) => record.id === id);
        }),
      ),
    );
  }

  /** Waits until gateways know when an engine started. */
  async untilStartKnown({ id, born }: TargetStandIn, nodes: readonly string[]): Promise<void> {
    await this.until(() =>
      nodes.every((node) => this.gateway(node).state.target(id)?.record.bornAt === born),
    );
  }

  /** Waits until a gateway has served a stream. */
  async untilServed(node: string): Promise<void> {
    await this.until(async () => (await sendStream(this, node)).status === STATUS_OK);
  }

  /** Waits until a gateway has served so many streams that it may resume some. */
  async untilMayResume(node: string): Promise<void> {
    await this.untilServed(node);
    await Array.from({ length: BATCHES_BEFORE_RESUMES }).reduce<Promise<unknown>>(
      (previous) =>
        previous.then(() =>
          Promise.all(Array.from({ length: BATCH_SIZE }, () => sendStream(this, node))),
        ),
      Promise.resolve(),
    );
  }

  /** Waits until a gateway of the north knows the engines in the west. */
  async untilWestIsKnown(node: string): Promise<void> {
    await this.addTarget(REMOTE_TARGET_INDEX, PLAIN_SERVICE, 'west-a');
    await this.until(async () => (await this.send(node, { path: '/remote/x' })).status === 200);
  }

  /** Ids of the engines that ran an attempt of the client. */
  enginesOf({ requestId }: StreamPart): string[] {
    return this.engines
      .filter(({ runs }) => runs.some((run) => run.requestId === requestId))
      .map(({ id }) => id);
  }
}

/** Breaks the streams of an engine at their next events. */
export function breakStreams(engine: TargetStandIn): void {
  Object.assign(engine, { mode: TargetMode.BreaksStream, breaksAfter: 0 });
}
