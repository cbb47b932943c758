/** An entry process on a simulated network, whose steps are chosen by a schedule. */
import type { ServerResponse } from 'node:http';
import { Readable } from 'node:stream';
import {
  CustomerLimits,
  KeyTable,
  LeastReportedLoadTargetPolicy,
  ResultCodes,
  RetryBudget,
  RunState,
  SuspectTable,
  allowedRegions,
  checkForward,
  parseIdempotencyKey,
  snapshotDelta,
  type DomainView,
  type ProcessRef,
  type RandomSource,
} from '@marjoramcart/core';
import {
  ManualTimerService,
  MessageAuthenticator,
  Metrics,
  silentLogger,
  type RpcClient,
  type HttpClient,
  type OutgoingRequest,
  type RequestResult,
} from '@marjoramcart/runtime';
import type { AdmissionGate } from '../admission/admission-gate.js';
import { TargetExchange } from '../dispatch/target-exchange.js';
import { DeathProbe } from '../dispatch/death-probe.js';
import { Dispatcher } from '../dispatch/dispatcher.js';
import { SuspectOwners } from '../dispatch/suspect-owners.js';
import { SuspectQueue } from '../dispatch/suspect-queue.js';
import { FORWARD_HEADER, FORWARD_PATH, decodeEnvelope } from '../forward/forward-envelope.js';
import { ForwardExchange, hopOf } from '../forward/forward-exchange.js';
import { EntryMetrics } from '../metrics/entry-metrics.js';
import { CallerResponse, type RecordedResponse } from '../relay/caller-response.js';
import type { Call } from '../request/call.js';
import { OpenCalls } from '../request/open-calls.js';
import { CallRunner } from '../request/call-runner.js';
import type { DomainChooser } from '../routing/domain-chooser.js';
import { TargetTable } from '../routing/target-table.js';
import { EntryState } from '../state/entry-state.js';
import { FLEET_SECRET, testSnapshot } from './fake-control.js';
import { InMemoryResponse } from './in-memory-response.js';
import { targetState, testConfig } from './harness.js';

const SNAPSHOT = testSnapshot(1, testConfig());
const METRICS = new EntryMetrics(new Metrics());
const EMPTY = Buffer.alloc(0);
export const ENTRY_LOCATIONS = [
  { address: 'entry-a', region: 'north', failureDomain: 'north-1' },
  { address: 'entry-b', region: 'north', failureDomain: 'north-2' },
  { address: 'entry-c', region: 'west', failureDomain: 'west-1' },
] as const;

/** The simulated network and the targets that an entry can reach. */
export interface ScheduledNetwork {
  readonly random: RandomSource;
  /** Number of runs at the targets by key. */
  readonly runs: Map<string, number>;
  entryAt(address: string): ScheduledEntry | undefined;
  /** Resolves when the schedule chooses this step, with whether it succeeded. */
  wait(at: () => ScheduledEntry | undefined): Promise<boolean>;
}

export type EntryLocation = (typeof ENTRY_LOCATIONS)[number];

/** One entry process. */
export class ScheduledEntry {
  state: 'up' | 'frozen' | 'dead' = 'up';

  hasTarget = true;

  /** Time that passed while the process was frozen, ms. */
  missedMs = 0;

  readonly timers = new ManualTimerService();

  private readonly keys = new KeyTable<RecordedResponse>({ maxKeys: 100, maxBytes: 10_000_000 });

  private readonly entryState: EntryState;

  private readonly runner: CallRunner;

  private version = 0;

  constructor(
    private readonly network: ScheduledNetwork,
    readonly location: EntryLocation,
    readonly bootId: string,
    nowMs: number,
  ) {
    const { timers } = this;
    timers.advance(nowMs);
    const now = (): number => timers.now();
    const self: ProcessRef = {
      ...{ bootId, role: 'entry', vm: location.address, region: location.region },
      ...{ failureDomain: location.failureDomain, peerAddress: location.address },
    };
    this.entryState = new EntryState(self, timers);
    const httpClient = {
      dial: (address: string) => address,
      send: this.transmit.bind(this),
    } as unknown as HttpClient;
    const rpc = { call: this.callPeer.bind(this) } as unknown as RpcClient;
    const targets = new TargetTable(this.entryState, now);
    const forwards = new ForwardExchange({
      ...{ self, httpClient, rpc, timers, revision: () => 1 },
      auth: new MessageAuthenticator(FLEET_SECRET, () => timers.wall()),
      recordLinkBytes: () => undefined,
      allowedRegions: () => ['north', 'west'],
    });
    const dispatcher = new Dispatcher({
      ...{ targets, forwards, timers, random: network.random, log: silentLogger() },
      targetPolicy: new LeastReportedLoadTargetPolicy(),
      domains: { choose: this.chooseDomain.bind(this) } as unknown as DomainChooser,
      exchange: new TargetExchange(httpClient, timers),
      probe: new DeathProbe(httpClient),
      exclusionOf: () => undefined,
      suspects: new SuspectTable(),
      suspectQueue: new SuspectQueue(targets, timers, new SuspectOwners(this.entryState)),
      budget: new RetryBudget(1, 0),
      metrics: METRICS,
      announceSuspect: () => Promise.resolve(),
      syncAfterPause: () => undefined,
      checkPause: () => undefined,
    });
    this.runner = new CallRunner({
      ...{
        state: this.entryState,
        timers,
        keys: this.keys,
        dispatcher,
        forwards,
        metrics: METRICS,
      },
      limits: new CustomerLimits(),
      gate: {
        admit: this.admit.bind(this),
        expectedWaitMs: () => 0,
      } as unknown as AdmissionGate,
      openCalls: new OpenCalls(),
    });
  }

  /** An idempotency key owned by this process. */
  key(nonce: string): string {
    return `${this.bootId}.${Math.floor(this.timers.wall() / 1000) + 600}.${nonce}`;
  }

  advance(ms: number): void {
    if (this.state === 'frozen') this.missedMs += ms;
    else this.timers.advance(ms);
  }

  updateView(entries: readonly ScheduledEntry[]): void {
    this.version += 1;
    const others = entries.filter((entry) => entry !== this);
    const view = {
      version: this.version,
      targets: this.hasTarget
        ? [targetState(`target-of-${this.location.address}`, { address: 'target' })]
        : [],
      ...{ processes: [], suspects: [], isolated: false, entriesPerRegion: {} },
      summaries: others.map((entry) => ({
        ...entry.location,
        ...{ version: this.version, ageMs: 0, services: [] },
        entries: [
          {
            ...{ bootId: entry.bootId, peerAddress: entry.location.address, callerAddress: '' },
            ...{ draining: false, openRequests: 0 },
          },
        ],
      })),
    } satisfies DomainView;
    this.entryState.apply({
      control: { ...this.entryState.self, role: 'control' },
      revision: 1,
      delta: this.entryState.config ? undefined : snapshotDelta(SNAPSHOT, {}),
      view,
    });
  }

  /** Starts a request of a caller or, with `forwarded`, of another entry. */
  accept(
    res: InMemoryResponse,
    request: { readonly key: string; readonly deadlineMs: number },
    forwarded?: NonNullable<ReturnType<typeof decodeEnvelope>>,
  ): void {
    const { self } = this.entryState;
    const response = new CallerResponse(res as unknown as ServerResponse, {
      commonHeaders: () => ({ 'marjoramcart-entry': self.bootId }),
      record: true,
    });
    const key = parseIdempotencyKey(request.key);
    if (forwarded) {
      const { visited, reason } = forwarded;
      const violation = checkForward(visited, hopOf(self), reason, ['north', 'west']);
      if (violation ?? (reason === 'key' && key?.bootId !== self.bootId)) {
        const code = ResultCodes.ForwardRefused;
        response.fail({ code, run: code.run, attempts: 0 });
        return;
      }
    }
    const { config } = this.entryState;
    const customer = config?.customersById.get('c1');
    const service = config?.services.booking;
    if (!config || !customer || !service) throw new Error('the entry has no configuration');
    if (allowedRegions(config, customer, service).length < 2)
      throw new Error('a region is missing');
    const call: Call = {
      ...{ id: `${request.key}-${this.network.random.next()}`, customer, service: 'booking' },
      ...{ config: service, method: 'POST', path: '/slots', contentType: undefined, body: EMPTY },
      ...{ stream: false, repeatable: false, key, digest: `digest-${request.key}` },
      routed: { service: 'booking', promptTokens: 0, maxTokens: 0, bodyBytes: 0 },
      arrivedAt: this.timers.now(),
      deadlineAt: this.timers.now() + request.deadlineMs,
      visited: forwarded?.visited ?? [],
    };
    const forwardedByOwner = forwarded?.reason === 'load' && key?.bootId !== self.bootId;
    void this.runner.run(call, response, forwardedByOwner);
  }

  private async admit(call: Call): Promise<unknown> {
    await this.network.wait(() => this);
    if (call.deadlineAt <= this.timers.now()) {
      return { kind: 'refused', code: ResultCodes.DeadlineExpired };
    }
    return { kind: 'admitted', release: () => undefined };
  }

  private chooseDomain(call: Call, excluded: ReadonlySet<string>, localReady: boolean): unknown {
    if (call.visited.some((hop) => hop.failureDomain !== this.location.failureDomain))
      return undefined;
    if (localReady && this.network.random.next() < 0.6) return undefined;
    const open = this.entryState.view.summaries.filter((s) => !excluded.has(s.failureDomain));
    const chosen = open[Math.floor(this.network.random.next() * open.length)];
    const [entry] = chosen?.entries ?? [];
    return chosen && entry && { ...chosen, ...entry, oneWayMs: 1 };
  }

  /** Simulates `HttpClient.send`: connect, check before the write, request, response. */
  private async transmit(
    out: OutgoingRequest,
    mayWrite: () => boolean,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    const failed = (sent: boolean): RequestResult => ({
      kind: 'failed',
      sent,
      reused: false,
      message: 'lost',
    });
    const aborted = new Promise<false>((resolve) => {
      if (signal.aborted) resolve(false);
      signal.addEventListener('abort', () => resolve(false), { once: true });
    });
    const connected = await Promise.race([this.network.wait(() => this), aborted]);
    if (!connected || signal.aborted) return failed(false);
    if (!mayWrite()) return { kind: 'vetoed' };
    // The receiver processes the request even if this side stops waiting.
    return Promise.race([this.exchange(out, failed(true)), aborted.then(() => failed(true))]);
  }

  private async exchange(out: OutgoingRequest, lost: RequestResult): Promise<RequestResult> {
    const receiver = (): ScheduledEntry | undefined => this.network.entryAt(out.address);
    if (!(await this.network.wait(receiver))) return lost;
    const res = new InMemoryResponse();
    const finished = new Promise((resolve) => {
      res.once('finish', resolve);
    });
    if (out.path === FORWARD_PATH) {
      const envelope = decodeEnvelope(String(headerOf(out, FORWARD_HEADER)));
      if (!envelope) throw new Error('the forward header is malformed');
      receiver()?.accept(
        res,
        { key: envelope.key ?? '', deadlineMs: envelope.deadlineMs },
        envelope,
      );
    } else if (out.path === '/load') res.end('{"sequence":1000}');
    else {
      const key = String(headerOf(out, 'idempotency-key'));
      this.network.runs.set(key, (this.network.runs.get(key) ?? 0) + 1);
      res.writeHead(201, { 'content-type': 'application/json' });
      res.end('{"slot":7}');
    }
    await finished;
    if (!(await this.network.wait(() => this))) return lost;
    const { statusCode, headers } = res;
    const body = Object.assign(Readable.from([res.body]), { statusCode, headers, complete: true });
    return { kind: 'answer', req: undefined, res: body } as unknown as RequestResult;
  }

  /** Simulates the RPC `key.cancel` at another entry. */
  private async callPeer(
    address: string,
    _method: string,
    params: { readonly to: string; readonly customer: string; readonly key: string },
  ): Promise<unknown> {
    const peer = (): ScheduledEntry | undefined => this.network.entryAt(address);
    if (!(await this.network.wait(peer))) return { kind: 'failed' };
    const known = peer();
    const key = parseIdempotencyKey(params.key);
    const state =
      known && key && known.bootId === params.to
        ? known.keys.cancel(key, params.customer, known.timers.wall())
        : RunState.Unknown;
    return (await this.network.wait(() => this))
      ? { kind: 'ok', value: { state } }
      : { kind: 'failed' };
  }
}

function headerOf({ headers }: OutgoingRequest, name: string): unknown {
  return Array.isArray(headers) ? headers[headers.indexOf(name) + 1] : headers[name];
}
