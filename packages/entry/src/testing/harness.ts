/** Test harness that starts entries with a fake control daemon and fake targets in this process. */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import http, { type IncomingHttpHeaders } from 'node:http';
import net from 'node:net';
import type { DomainView, Snapshot, TargetState } from '@marjoramcart/core';
import {
  Metrics,
  SystemTimerService,
  entrySettingsSchema,
  silentLogger,
} from '@marjoramcart/runtime';
import { createEntry, type EntryDaemon } from '../entry-daemon.js';
import { FLEET_SECRET, FakeControl, testSnapshot } from './fake-control.js';
import type { FakeTarget } from './fake-target.js';

export const API_KEY = 'key-of-c1';
export const OTHER_API_KEY = 'key-of-c2';

/** Digest of an API key as in the configuration. */
export function keyDigest(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex').slice(0, 32);
}

/** Configuration of the tests; `change` replaces parts of it. */
export function testConfig(change: Readonly<Record<string, unknown>> = {}): unknown {
  return {
    format: 1,
    regions: {
      north: { failure_domains: ['north-1', 'north-2'], links: {} },
      west: { failure_domains: ['west-1'] },
    },
    models: { 'chat-model': { version: '1', weights_mb: 1 } },
    services: {
      chat: { kind: 'model', model: 'chat-model', regions: ['north', 'west'] },
      booking: {
        kind: 'plain',
        regions: ['north', 'west'],
        operations: [
          { method: 'GET', path: '/slots*', repeatable: true },
          { method: 'POST', path: '/slots', repeatable: false },
        ],
      },
    },
    classes: { standard: { priority: 10 } },
    customers: [
      { id: 'c1', key: keyDigest(API_KEY), class: 'standard' },
      { id: 'c2', key: keyDigest(OTHER_API_KEY), class: 'standard', regions: ['west'] },
    ],
    ...change,
  };
}

export interface Harness {
  readonly daemon: EntryDaemon;
  readonly control: FakeControl;
  readonly timers: SystemTimerService;
  readonly metrics: Metrics;
  stop(): Promise<void>;
}

export interface HarnessOptions {
  readonly config?: unknown;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly targets?: readonly TargetState[];
  readonly view?: Partial<DomainView>;
  /** Target policy; defaults to the daemon's default policy. */
  readonly targetPolicy?: string;
  readonly drainNoticeMs?: number;
  readonly maxBodyMemoryMb?: number;
}

/** Starts an entry of one failure domain with its own control daemon. */
export async function startEntry(options: HarnessOptions = {}): Promise<Harness> {
  const control = new FakeControl(testSnapshot(1, options.config ?? testConfig()));
  control.setView({ targets: options.targets ?? [], ...options.view });
  await control.listen();
  const settings = entrySettingsSchema.parse({
    region: options.region ?? 'north',
    failure_domain: options.failureDomain ?? 'north-1',
    vm: 'vm-1',
    fleet_secret: FLEET_SECRET,
    listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', admin: '127.0.0.1:0' },
    control: control.address,
    seed: 1,
    policies: { target: options.targetPolicy ?? 'default' },
    ...(options.maxBodyMemoryMb === undefined
      ? {}
      : { max_body_memory_mb: options.maxBodyMemoryMb }),
  });
  const timers = new SystemTimerService();
  const metrics = new Metrics();
  const log = silentLogger();
  const { drainNoticeMs = 20 } = options;
  const daemon = createEntry(settings, { timers, log, metrics, drainNoticeMs });
  await daemon.tasks.reduce((before, task) => before.then(() => task.start()), Promise.resolve());
  return {
    daemon,
    control,
    timers,
    metrics,
    stop: async () => {
      await [...daemon.tasks]
        .reverse()
        .reduce((before, task) => before.then(() => task.stop()), Promise.resolve());
      timers.close();
      control.close();
    },
  };
}

/** Load report of a fake target. */
export function targetState(
  vm: string,
  target: Pick<FakeTarget, 'address'>,
  change: Partial<TargetState> = {},
): TargetState {
  return {
    vm,
    address: target.address,
    kind: 'engine',
    services: ['chat', 'booking'],
    leaving: false,
    healthy: true,
    running: 0,
    queued: 0,
    waitMs: 1,
    concurrency: 8,
    reportAgeMs: 10,
    sequence: 1,
    ...change,
  };
}

export interface TestResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the HTTP message was complete. */
  readonly complete: boolean;
}

export interface TestRequest {
  readonly method?: string;
  readonly path?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly apiKey?: string;
  readonly signal?: AbortSignal;
}

/** Sends a request to an entry and reads the whole response. */
export function send(address: string, options: TestRequest = {}): Promise<TestResponse> {
  const [host, port] = address.split(':');
  const body = options.body === undefined ? '' : JSON.stringify(options.body);
  return new Promise((resolve, reject) => {
    const req = http.request(
      {
        host,
        port,
        method: options.method ?? 'POST',
        path: options.path ?? '/v1/chat/completions',
        agent: false,
        signal: options.signal,
        headers: {
          authorization: `Bearer ${options.apiKey ?? API_KEY}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          ...options.headers,
        },
      },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', () => undefined);
        res.on('close', () =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            complete: res.complete,
          }),
        );
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}

/** Regions or services to which a customer is restricted. */
export interface Restriction {
  readonly regions?: readonly string[];
  readonly services?: readonly string[];
}

/** Configuration of the tests in which customer `c1` is restricted, at revision 2. */
export function restrictedSnapshot(restriction: Restriction): Snapshot {
  const customer = { id: 'c1', key: keyDigest(API_KEY), class: 'standard', ...restriction };
  return testSnapshot(2, testConfig({ customers: [customer] }));
}

/** Restricts customer `c1` in the configuration of an entry. */
export async function restrictCustomer(entry: Harness, restriction: Restriction): Promise<void> {
  const { daemon, control } = entry;
  control.snapshot = restrictedSnapshot(restriction);
  await until(() => daemon.state.revision === 2);
}

/**
 * Sends a chat completion of customer `c1`, which is restricted before the body follows;
 * returns all bytes of the response.
 */
export async function sendAroundRestriction(
  entry: Harness,
  restriction: Restriction,
): Promise<string> {
  const [host, port] = entry.daemon.callers.address.split(':');
  const body = JSON.stringify(chatBody('x'));
  const socket = net.connect({ host, port: Number(port) });
  const chunks: Buffer[] = [];
  const received = (): string => Buffer.concat(chunks).toString('utf8');
  socket.on('data', (chunk) => chunks.push(chunk));
  const closed = once(socket, 'close');
  socket.write(
    [
      'POST /v1/chat/completions HTTP/1.1',
      'host: x',
      `authorization: Bearer ${API_KEY}`,
      `content-length: ${body.length}`,
      'expect: 100-continue',
      'connection: close',
      '\r\n',
    ].join('\r\n'),
  );
  await until(() => received().includes('100 Continue'));
  await restrictCustomer(entry, restriction);
  socket.write(body);
  await closed;
  return received();
}

/** Body of a chat completion. */
export function chatBody(text: string, stream = true): unknown {
  return { model: 'chat', stream, messages: [{ role: 'user', content: text }] };
}

/** Error code in a response body or in its error event. */
export function errorCode(body: string): number | undefined {
  const [, json] = /event: error\ndata: (.*)\n\n$/.exec(body) ?? [undefined, body];
  const parsed = JSON.parse(json ?? body) as { error?: { code?: number } };
  return parsed.error?.code;
}

// The expiry is part of the key, so it must not change during a test.
const KEY_EXPIRY_S = Math.ceil(Date.now() / 1000) + 600;

/** A valid key that the entry owns; the same nonce gives the same key. */
export function keyOf(daemon: Pick<EntryDaemon, 'bootId'>, nonce: string): string {
  return `${daemon.bootId}.${KEY_EXPIRY_S}.${nonce}`;
}

/** Waits for a condition that changes with events in this process. */
export async function until(condition: () => boolean, timeoutMs = 5000): Promise<void> {
  const endAt = performance.now() + timeoutMs;
  const poll = async (): Promise<void> => {
    if (condition()) return;
    if (performance.now() > endAt) throw new Error('timed out waiting for a condition');
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await poll();
  };
  await poll();
}
