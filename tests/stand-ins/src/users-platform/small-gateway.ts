/** A gateway process with the memory of a small VM, its store and two targets of plain services. */
import assert from 'node:assert/strict';
import { sendRequest, type ClientResponse } from './client-request.js';
import { HOST, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { GatewayProcess, type ProcessOptions } from './gateway-process.js';
import { StoreStandIn } from './store.js';
import { TargetMode, TargetStandIn } from './target.js';

/** Memory of a small VM; the process must stay below it. */
export const MEMORY_MB = 210;
/** Lower than on a small VM (160), so that a small crowd is enough. */
export const HEAP_MB = 64;
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 100;
const DEADLINE_MS = 10_000;
const KB_PER_MB = 1024;
/** Its target never answers. */
const SILENT_SERVICE = 'silent';

export interface SmallGatewayOptions extends Pick<ProcessOptions, 'maxFds' | 'descriptorLimit'> {
  /** First of ten free ports. */
  readonly basePort: number;
  /** Lines that are added to the gateway's own settings (YAML). */
  readonly tuning?: string;
  /** How long callers may keep a connection without a request, ms. */
  readonly idleTimeoutMs?: number;
  /** Time-out of the routes, ms. */
  readonly timeoutMs?: number;
  /** Latency target of the routes, ms. */
  readonly targetLatencyMs?: number;
  /** How long the head of a request may take, ms. */
  readonly headerTimeoutMs?: number;
}

/**
 * Routes are `/read/` to a target that answers at once and `/held/` to one that never does.
 *
 * @example
 * const gateway = new SmallGateway({ basePort: 29_600 });
 * await gateway.start();
 */
export class SmallGateway {
  readonly process: GatewayProcess;

  readonly store = new StoreStandIn();

  readonly target: TargetStandIn;

  private readonly silent: TargetStandIn;

  constructor(private readonly options: SmallGatewayOptions) {
    const { basePort } = options;
    this.process = new GatewayProcess({ ...options, memoryMb: MEMORY_MB, heapMb: HEAP_MB });
    this.target = new TargetStandIn('i-1', `127.0.1.1:${basePort}`, false);
    this.silent = new TargetStandIn('i-2', `127.0.1.2:${basePort}`, false);
    this.silent.mode = TargetMode.Silent;
  }

  /** Starts the process and waits until it serves. */
  async start(): Promise<void> {
    const { store, target, silent } = this;
    const route = {
      host: HOST,
      service: PLAIN_SERVICE,
      timeoutMs: this.options.timeoutMs ?? 20_000,
      targetLatencyMs: this.options.targetLatencyMs ?? 20_000,
    };
    store.put(
      'op/config',
      exampleConfig(3, {
        routes: [
          { ...route, name: 'read', prefix: '/read/', kind: 'safe', maxAttempts: 1 },
          { ...route, name: 'held', prefix: '/held/', kind: 'unsafe', service: SILENT_SERVICE },
        ],
        services: [{ name: PLAIN_SERVICE }, { name: SILENT_SERVICE }],
        limits: {
          maxHeaderBytes: 4096,
          maxBodyBytes: MAX_BODY_BYTES,
          headerTimeoutMs: this.options.headerTimeoutMs ?? 1000,
          idleTimeoutMs: this.options.idleTimeoutMs ?? 5000,
        },
      }),
    );
    await Promise.all([target.listen(), silent.listen()]);
    store.put(`servers/${silent.id}`, silent.entry(SILENT_SERVICE, 'north-a'));
    store.put(`servers/${target.id}`, target.entry(PLAIN_SERVICE, 'north-a'));
    await store.listen(this.process.storeAddress);
    await this.process.start();
    await this.untilServing();
  }

  /** Sends an ordinary short request. */
  sendShort(): Promise<ClientResponse> {
    const req = { path: '/read/1', body: 'short', deadlineMs: DEADLINE_MS };
    return sendRequest(this.process.callersAddress, req);
  }

  assertAlive(): void {
    assert.equal(this.process.end, undefined, 'the process ended');
  }

  /** Checks that the process lives, and that it never exceeded the memory of its VM. */
  assertWithinMemory(): void {
    this.assertAlive();
    const peakMb = this.process.peakMemoryKb() / KB_PER_MB;
    assert.ok(peakMb <= MEMORY_MB, `peak memory of ${peakMb.toFixed(0)} MB`);
  }

  async close(): Promise<void> {
    await Promise.all([
      this.process.stop(),
      this.store.close(),
      this.target.close(),
      this.silent.close(),
    ]);
  }

  private async untilServing(leftMs = READY_TIMEOUT_MS): Promise<void> {
    const res = await this.sendShort().catch(() => undefined);
    if (res?.status === 200) return;
    assert.ok(
      leftMs > 0 && this.process.end === undefined,
      `not serving: ${this.process.log.slice(-2000)}`,
    );
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await this.untilServing(leftMs - POLL_MS);
  }
}
