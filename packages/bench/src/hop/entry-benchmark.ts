/** Measures one entry process: added latency, CPU per request and per event, and memory. */
import { execFile } from 'node:child_process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { BenchFleet } from '../fleet/bench-fleet.js';
import { farmAddress, type EventPacing } from '../fleet/farm-protocol.js';
import { fitLine, type LineFit, type Point } from '../measure/line-fit.js';
import { cpuSeconds, machineLoad, residentMb } from '../measure/process-usage.js';
import { LoadClient, percentile, type ClientResult } from './load-client.js';

/** 64 engines with 32 slots each are enough for 1,000 streams. */
const ENGINE_COUNT = 64;
const SERVICE = 'model-0-service';
const API_KEY = 'bench-key';
/** A short response without pacing. */
const SHORT_RESPONSE: EventPacing = { tokens: 4, intervalMs: 0 };
const UNENDING_STREAM_TOKENS = 1_000_000;
const OPEN_TIMEOUT_MS = 10_000;
const CLIENT_SCRIPT = fileURLToPath(new URL('client-main.js', import.meta.url));
/** JIT compilation in the target farm and the entry settles within the first 1,000 to 2,000 calls. */
const WARM_UP_MS = 8000;
/** Time allowed for the client processes to start. */
const CLIENT_START_MS = 1000;
const MAX_RESULT_BYTES = 16 * 1024 * 1024;
const run = promisify(execFile);

export interface LatencyFigures {
  readonly perS: number;
  readonly directP50Ms: number;
  readonly directP99Ms: number;
  readonly entryP50Ms: number;
  readonly entryP99Ms: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly failed: number;
  readonly load1: number;
}

/**
 * Resource use of the entry with a line fit. For CPU, x is a rate per second and y is CPU seconds per
 * second; for memory, x is the number of open streams and y is MB.
 */
export interface MeasurementSeries {
  readonly points: readonly Point[];
  readonly fit: LineFit;
}

export class EntryBenchmark {
  private constructor(
    private readonly fleet: BenchFleet,
    private readonly pid: number,
    private readonly entryAddress: string,
  ) {}

  static async start(name: string): Promise<EntryBenchmark> {
    const fleet = await BenchFleet.start(name, {
      domains: 1,
      peers: 1,
      otherPeers: 1,
      entriesPerVm: 1,
      targets: ENGINE_COUNT,
      customers: 1000,
      models: 1,
    });
    const [entry] = fleet.layout.entries;
    // The entry receives the ready targets after the first probes and one sync.
    await delay(4000);
    return new EntryBenchmark(
      fleet,
      fleet.process(entry?.name ?? '').pid ?? 0,
      entry?.callers ?? '',
    );
  }

  stop(): Promise<void> {
    return this.fleet.stop();
  }

  /**
   * Compares first-token times of direct calls and calls through the entry. Each client has its own
   * process, and their calls alternate, so that neither client delays the other.
   */
  async measureLatency(perS: number, forMs: number): Promise<LatencyFigures> {
    const startAt = Date.now() + CLIENT_START_MS;
    const halfPeriodMs = 500 / perS;
    const direct = farmAddress(0, this.fleet.farmPort);
    const [{ firstMs: directMs, ...directRest }, { firstMs: entryMs, ...entryRest }] =
      await Promise.all([
        runClient(direct, perS, forMs, startAt),
        runClient(this.entryAddress, perS, forMs, startAt + halfPeriodMs),
      ]);
    const percentileOf = (values: number[], share: number): number => percentile(values, share);
    return {
      perS,
      directP50Ms: percentileOf(directMs, 0.5),
      directP99Ms: percentileOf(directMs, 0.99),
      entryP50Ms: percentileOf(entryMs, 0.5),
      entryP99Ms: percentileOf(entryMs, 0.99),
      addedP50Ms: percentileOf(entryMs, 0.5) - percentileOf(directMs, 0.5),
      addedP99Ms: percentileOf(entryMs, 0.99) - percentileOf(directMs, 0.99),
      failed: directRest.failed + entryRest.failed,
      load1: machineLoad().load1,
    };
  }

  /** CPU against requests per second; each response has 4 events. */
  measureRequestCpu(rates: readonly number[], forMs: number): Promise<MeasurementSeries> {
    return this.measureSeries(rates, async (perS) => {
      const client = this.entryClient();
      const point = await this.cpuDuring(async () => {
        await client.run(perS, forMs, SHORT_RESPONSE);
        return (perS * forMs) / 1000;
      });
      client.close();
      return point;
    });
  }

  /** CPU against events per second; each event of a stream is sent alone, `intervalMs` apart. */
  measureEventCpu(
    streams: readonly number[],
    intervalMs: number,
    forMs: number,
  ): Promise<MeasurementSeries & { readonly perCore: number }> {
    return this.measureSeries(streams, async (count) => {
      const client = await this.openStreams(count, { tokens: UNENDING_STREAM_TOKENS, intervalMs });
      const before = client.counts.events;
      const point = await this.cpuDuring(async () => {
        await delay(forMs);
        return client.counts.events - before;
      });
      client.close();
      await this.waitUntilIdle(client);
      return point;
    }).then((series) => ({ ...series, perCore: 1 / series.fit.slope }));
  }

  /** Throughput in events per second of a few streams that only back-pressure limits. */
  async measureThroughput(
    streams: number,
    forMs: number,
  ): Promise<{ perS: number; perCpuS: number }> {
    const client = await this.openStreams(streams, {
      tokens: UNENDING_STREAM_TOKENS,
      intervalMs: 0,
    });
    const before = client.counts.events;
    const startedAt = performance.now();
    const cpuBefore = await cpuSeconds(this.pid);
    await delay(forMs);
    const events = client.counts.events - before;
    const cpuS = (await cpuSeconds(this.pid)) - cpuBefore;
    const perS = (events * 1000) / (performance.now() - startedAt);
    client.close();
    await this.waitUntilIdle(client);
    return { perS, perCpuS: events / cpuS };
  }

  /** Resident memory in MB against open streams, each with one event per second. */
  async measureMemory(counts: readonly number[], holdMs: number): Promise<MeasurementSeries> {
    return this.measureSeries(counts, async (count) => {
      const client = await this.openStreams(count, {
        tokens: UNENDING_STREAM_TOKENS,
        intervalMs: 1000,
      });
      await delay(holdMs);
      const mb = await residentMb(this.pid);
      const { open, failed } = client.counts;
      if (open < count) throw new Error(`${open} of ${count} streams are open, ${failed} failed`);
      client.close();
      await this.waitUntilIdle(client);
      return { x: count, y: mb };
    });
  }

  private async measureSeries(
    values: readonly number[],
    measure: (value: number) => Promise<Point>,
  ): Promise<MeasurementSeries> {
    const points = await values.reduce<Promise<Point[]>>(
      async (before, value) => [...(await before), await measure(value)],
      Promise.resolve([]),
    );
    return { points, fit: fitLine(points) };
  }

  private async cpuDuring(work: () => Promise<number>): Promise<Point> {
    const startedAt = performance.now();
    const before = await cpuSeconds(this.pid);
    const done = await work();
    const seconds = (performance.now() - startedAt) / 1000;
    return { x: done / seconds, y: ((await cpuSeconds(this.pid)) - before) / seconds };
  }

  private async openStreams(count: number, pacing: EventPacing): Promise<LoadClient> {
    const client = this.entryClient();
    Array.from({ length: count }).forEach(() => {
      void client.call(pacing);
    });
    const timeoutAt = performance.now() + OPEN_TIMEOUT_MS;
    // eslint-disable-next-line no-await-in-loop
    while (client.counts.open < count && performance.now() < timeoutAt) await delay(100);
    return client;
  }

  private async waitUntilIdle(client: LoadClient): Promise<void> {
    const timeoutAt = performance.now() + OPEN_TIMEOUT_MS;
    // eslint-disable-next-line no-await-in-loop
    while (client.counts.open > 0 && performance.now() < timeoutAt) await delay(100);
    await delay(1000);
  }

  private entryClient(): LoadClient {
    return new LoadClient({ address: this.entryAddress, service: SERVICE, apiKey: API_KEY });
  }
}

async function runClient(
  address: string,
  perS: number,
  forMs: number,
  startAt: number,
): Promise<ClientResult> {
  const args = {
    address,
    service: SERVICE,
    key: API_KEY,
    'per-s': perS,
    'warm-up-ms': WARM_UP_MS,
    'for-ms': forMs,
    tokens: SHORT_RESPONSE.tokens,
    'start-at': startAt,
  };
  const list = Object.entries(args).flatMap(([name, value]) => [`--${name}`, String(value)]);
  const options = { maxBuffer: MAX_RESULT_BYTES };
  const { stdout } = await run(process.execPath, [CLIENT_SCRIPT, ...list], options);
  return JSON.parse(stdout) as ClientResult;
}
