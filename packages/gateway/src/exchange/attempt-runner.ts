/** Carries out one attempt: sends the request to a target or a gateway and reads the response. */
import type { IncomingMessage } from 'node:http';
import {
  allowsVersion,
  RouteKind,
  RunState,
  scopeOfVersion,
  SseFrameParser,
  type LoadReport,
  type StreamSource,
  type VersionScope,
} from '@marjoramcart/core';
import {
  continueReading,
  discardResponse,
  holdReading,
  MAX_RESPONSE_BYTES,
  readResponseBody,
  type HttpClient,
  type RequestResult,
  type ResponseReceived,
  type TimerService,
} from '@marjoramcart/runtime';
import type { HeaderList, RequestProtocol, TargetSignals } from '../ports/request-protocol.js';
import type { AttemptEnd } from './attempt-end.js';
import { BatchedWriter } from './batched-writer.js';
import type { Call } from './call.js';
import type { CallProgress } from './call-progress.js';
import { ATTEMPTS_HEADER, RUN_HEADER } from './caller-response.js';

export interface AttemptOptions {
  readonly progress: CallProgress;
  readonly address: string;
  readonly headers: HeaderList;
  readonly signal: AbortSignal;
  /** Whether the destination may still be used; called immediately before the request is written. */
  readonly mayWrite: () => boolean;
  /** Whether the receiver is a gateway rather than a target. */
  readonly toPeer: boolean;
  /** Called for each received part of the response body. */
  readonly onBytes: () => void;
  /** Called when a connection was established for the attempt. */
  readonly onOpened?: () => void;
  /**
   * Called with the head of a stream before its first event is passed on.
   *
   * @param openedAt when its connection was established, monotonic ms
   */
  readonly streamSource: (res: IncomingMessage, openedAt: number) => StreamSource;
  /** Called when the first event of an attempt is passed on. */
  readonly onDelivered: (source: StreamSource) => void;
  /**
   * Called with the head of each response of a target to this request.
   *
   * @param openedAt when its connection was established, monotonic ms
   */
  readonly onSignals: (signals: TargetSignals, openedAt: number) => void;
  /** Called when the response carries a load report of the target. */
  readonly onReport: (report: LoadReport) => void;
}

const MS_PER_S = 1000;
/** Longest delay of a first event until it is proved which start of the target wrote it. */
const FIRST_EVENT_HOLD_MS = 50;
/** The same for events that go on with a stream, where no other version is known, and where one is. */
const ONE_VERSION_HOLD_MS = 400;
const SEVERAL_VERSIONS_HOLD_MS = 1500;
const STATUS_INTERNAL_ERROR = 500;
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

type Prove = NonNullable<StreamSource['prove']>;

export class AttemptRunner {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly protocol: RequestProtocol,
    private readonly timers: TimerService,
  ) {}

  async run(options: AttemptOptions): Promise<AttemptEnd> {
    const { signal } = options;
    const { call } = options.progress;
    const atMostOnce = call.facts.kind !== RouteKind.Repeatable && !call.facts.resumable;
    const sent = await this.httpClient.send(
      {
        address: this.httpClient.dial(options.address),
        method: call.head.method,
        path: call.head.path,
        headers: withContentLength(options.headers, call),
        body: call.body,
        // The receiver may close a reused connection while the request is written, which would leave
        // open whether the request ran.
        newConnection: atMostOnce && !options.toPeer,
        ...(options.onOpened ? { onOpened: options.onOpened } : {}),
      },
      () => !signal.aborted && options.mayWrite(),
      signal,
    );
    return this.readResponse(sent, options);
  }

  private readResponse(
    sent: RequestResult,
    options: AttemptOptions,
  ): Promise<AttemptEnd> | AttemptEnd {
    if (sent.kind === 'vetoed') {
      return options.signal.aborted
        ? { kind: 'not-sent', message: 'aborted before the request was written' }
        : { kind: 'not-sent', message: 'the target may no longer be used', withdrawn: true };
    }
    if (sent.kind === 'failed') {
      if (!sent.sent) return { kind: 'not-sent', message: sent.message };
      const { message, malformed } = sent;
      return { kind: 'lost', message, ...(malformed ? {} : { connectionLost: true }) };
    }
    const { res, openedAt } = sent;
    const refused = options.toPeer ? readPeerRefusal(res) : undefined;
    if (refused) {
      discardResponse(sent, this.timers);
      return refused;
    }
    const head = this.protocol.readResponseHead(res, options.progress.call.head);
    // A misdirected request was answered by another target, which does not speak for the one meant.
    const isFromTarget = head.kind === 'genuine' || (head.kind === 'not-run' && !head.misdirected);
    if (isFromTarget && !options.toPeer)
      options.onSignals(this.protocol.readTargetSignals(res), openedAt);
    switch (head.kind) {
      case 'not-run':
        discardResponse(sent, this.timers);
        return head;
      case 'invalid':
        res.on('error', () => undefined);
        res.destroy();
        return { kind: 'lost', message: head.message };
      default:
        if (head.report && !options.toPeer) options.onReport(head.report);
        return head.stream
          ? this.forwardStream(sent, head.status, options)
          : this.readBuffered(res, head.status, options);
    }
  }

  private async readBuffered(
    res: IncomingMessage,
    status: number,
    options: AttemptOptions,
  ): Promise<AttemptEnd> {
    const { memory } = options.progress;
    const body = await readResponseBody(res, (bytes) => memory.grow(bytes));
    const headers = this.protocol.responseHeaders(res.rawHeaders);
    if (body.kind === 'paused') {
      if (status < STATUS_INTERNAL_ERROR) {
        return relayRest(res, body.body, status, headers, options);
      }
      res.destroy();
      return { kind: 'lost', message: `no memory for a response with status ${status}` };
    }
    if (body.kind !== 'complete')
      return { kind: 'lost', message: body.message, connectionLost: true };
    options.onBytes();
    return { kind: 'answered', status, headers, body: body.body, runs: runCountOf(res) };
  }

  private forwardStream(
    { res, openedAt }: ResponseReceived,
    status: number,
    options: AttemptOptions,
  ): Promise<AttemptEnd> {
    const { progress } = options;
    const { response } = progress;
    const frames = new SseFrameParser({
      doneMarker: false,
      ...(progress.lastEventId === undefined ? {} : { after: progress.lastEventId }),
    });
    const writer = new BatchedWriter(res, response);
    return new Promise((resolve) => {
      let settled = false;
      let source: StreamSource | undefined;
      /** Events that are not passed on before it is proved which start of the target wrote them. */
      let held: Buffer[] | undefined;
      let endedWhileHeld = false;
      const finish = (end: AttemptEnd): void => {
        if (settled) return;
        settled = true;
        writer.flush();
        if (end.kind !== 'streamed') res.destroy();
        resolve(end);
      };
      const passOn = (events: Buffer): void => {
        if (!response.started)
          response.start(status, this.protocol.responseHeaders(res.rawHeaders));
        progress.lastEventId = frames.lastId;
        writer.write(events);
      };
      const onEnd = (): void => {
        // Without events, only its framing tells a complete stream from one that broke off.
        const isWhole = res.complete && frames.complete && (frames.events > 0 || isFramed(res));
        if (!isWhole) {
          finish({ kind: 'lost', message: 'the stream ended before it was complete' });
          return;
        }
        if (!response.started && !settled)
          response.start(status, this.protocol.responseHeaders(res.rawHeaders));
        finish({ kind: 'streamed' });
      };
      const begin = (from: StreamSource, events: Buffer): void => {
        const { version, check } = from;
        if (progress.scope.kind !== 'any' && !allowsVersion(progress.scope, version)) {
          const message = `stream of software version ${version ?? 'unknown'}`;
          finish({ kind: 'lost', message, ...(version === undefined ? { unproved: true } : {}) });
          return;
        }
        if (progress.scope.kind === 'any') {
          progress.scope = scopeOfVersion(version);
          progress.source = from;
        }
        // A guess must not be taken for a fact by the gateway that forwarded the request.
        response.setSoftwareVersion(check ? undefined : version);
        options.onDelivered(from);
        passOn(events);
      };
      /** Holds events back until it is proved which start of the target wrote them, or not in time. */
      const hold = (from: StreamSource, prove: Prove, events: Buffer): void => {
        const waiting = [events];
        held = waiting;
        holdReading(res);
        void prove(holdLimitMs(progress.scope, from)).then(() => {
          held = undefined;
          if (settled) return;
          begin(provedSource(from), Buffer.concat(waiting));
          if (endedWhileHeld) onEnd();
          else continueReading(res);
        });
      };
      res.on('data', (chunk: Buffer) => {
        if (settled) return;
        options.onBytes();
        const events = frames.push(chunk);
        if (events && held) held.push(events);
        else if (events && source) passOn(events);
        else if (events) {
          source = options.streamSource(res, openedAt);
          const { version, prove } = source;
          // Events of another version must not follow those that were passed on before. A version that is
          // known at the first event is named in the head and told to others before anyone takes it up.
          const mayGuess = progress.scope.kind === 'any' && version !== undefined;
          if (prove && !mayGuess) hold(source, prove, events);
          else begin(source, events);
        }
        if (frames.error)
          finish({ kind: 'lost', message: `malformed stream: ${frames.error.kind}` });
      });
      res.on('end', () => {
        if (held) endedWhileHeld = true;
        else onEnd();
      });
      const onConnectionLost = (message: string): void => {
        if (!endedWhileHeld)
          finish({ kind: 'lost', message, connectionLost: true, runs: runCountOf(res) });
      };
      res.on('error', (err) => onConnectionLost(err.message));
      res.on('close', () => onConnectionLost('connection closed during the stream'));
      if (res.destroyed) onConnectionLost('the stream broke off');
    });
  }
}

/** How long events are held back at most until their source is proved, ms. */
function holdLimitMs({ kind }: VersionScope, { version }: StreamSource): number {
  if (kind === 'any') return FIRST_EVENT_HOLD_MS;
  return version === undefined ? SEVERAL_VERSIONS_HOLD_MS : ONE_VERSION_HOLD_MS;
}

/** A source with the version that is proved now, if it is. */
function provedSource(source: StreamSource): StreamSource {
  const check = source.check?.();
  return check?.kind === 'settled' ? { version: check.version } : source;
}

/** Whether a response tells by a length or by chunks where it ends. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Forwards a response as the caller reads it, beginning with what was read before. */
function relayRest(
  res: IncomingMessage,
  start: Buffer,
  status: number,
  headers: HeaderList,
  { progress, onBytes }: AttemptOptions,
): Promise<AttemptEnd> {
  const { response } = progress;
  const writer = new BatchedWriter(res, response);
  const end = (complete: boolean): AttemptEnd => {
    writer.flush();
    return { kind: 'relayed', status, complete };
  };
  const forward = (chunk: Buffer): void => {
    onBytes();
    writer.write(chunk);
  };
  let size = start.length;
  return new Promise((resolve) => {
    res.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_RESPONSE_BYTES) res.destroy();
      else forward(chunk);
    });
    res.on('end', () => resolve(end(res.complete)));
    res.on('error', () => resolve(end(false)));
    res.on('close', () => resolve(end(false)));
    response.start(status, headers);
    res.resume();
    forward(start);
    // Its last part may have been the one that was too much; its events have passed then.
    if (res.readableEnded || res.closed) resolve(end(res.complete && res.readableEnded));
  });
}

/** Adds `content-length`, except for an empty body of a method that usually has none. */
function withContentLength(headers: HeaderList, { body, head }: Call): HeaderList {
  if (body.length === 0 && !METHODS_WITH_BODY.has(head.method)) return headers;
  return [...headers, 'content-length', String(body.length)];
}

/** Number of targets that ran the request, as reported by a gateway; 1 for a target. */
function runCountOf({ headers }: IncomingMessage): number {
  return Math.max(1, Number(headers[ATTEMPTS_HEADER] ?? 1) || 1);
}

/** Result of a request for which another gateway generated the response itself. */
function readPeerRefusal(res: IncomingMessage): AttemptEnd | undefined {
  const run = res.headers[RUN_HEADER];
  if (run === undefined) return undefined;
  if (run !== RunState.NotRun)
    return { kind: 'lost', message: `gateway responded with status ${res.statusCode}` };
  const retryAfterS = Number(res.headers['retry-after']);
  return {
    kind: 'not-run',
    misdirected: false,
    ...(Number.isFinite(retryAfterS) ? { retryAfterMs: retryAfterS * MS_PER_S } : {}),
    ...(res.headers[ATTEMPTS_HEADER] === '0' ? { unsent: true } : {}),
  };
}
