/** Stand-in for the targets of the users' platform: engines that stream events, and plain services. */
import { setTimeout as delay } from 'node:timers/promises';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { readText } from '../common/http-server.js';
import { TargetRoom, type RoomOptions } from './target-room.js';

/** How a target responds to requests. */
export const TargetMode = {
  Good: 'good',
  /** Responds with status 500. */
  Fails: 'fails',
  /** Rejects requests without running them. */
  Sheds: 'sheds',
  /** Runs the request and resets the connection. */
  Resets: 'resets',
  /** Responds with the id of another request. */
  ForeignResponse: 'foreign-response',
  /** Responds without a signature. */
  Unsigned: 'unsigned',
  /** Sends a response without a length and resets the connection before its end. */
  Unframed: 'unframed',
  /** Sends half of the announced body and resets the connection. */
  BreaksBody: 'breaks-body',
  /** Resets the connection of a stream in the middle of an event. */
  BreaksStream: 'breaks-stream',
  /** Runs the request and never responds. */
  Silent: 'silent',
  /** Sends header lines until the connection is closed. */
  EndlessHead: 'endless-head',
  /** Sends a body without a length until the connection is closed. */
  EndlessBody: 'endless-body',
  /** Rejects the request without running it, with a body that does not end. */
  EndlessRejection: 'endless-rejection',
} as const;
export type TargetMode = (typeof TargetMode)[keyof typeof TargetMode];

/** When a target crashes on a request. */
export const CrashMoment = {
  BeforeAnswer: 'before-answer',
  HalfEvent: 'half-event',
  /** After as many whole events as `breaksAfter` says. */
  BetweenEvents: 'between-events',
  /** After the last event, before the stream ends. */
  BeforeEnd: 'before-end',
  /** In the middle of a body that is not a stream. */
  HalfBody: 'half-body',
} as const;
export type CrashMoment = (typeof CrashMoment)[keyof typeof CrashMoment];

/** A request that a target has started to run. */
export interface TargetRun {
  readonly requestId: string;
  /** Unix ms. */
  readonly startedAt: number;
  readonly path: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
  /** Whether the connection was closed before the response was complete. */
  cancelled: boolean;
}

/** Path of the health check. */
export const HEALTH_PATH = '/healthz';

const EVENT_COUNT = 6;
const EVENT_INTERVAL_MS = 10;
const RESTART_MS = 200;
/** Time for which a target that rejected too much is down. */
const FALL_MS = 2000;
const ENDLESS_CHUNK_BYTES = 64 * 1024;
const ENDLESS_INTERVAL_MS = 1;

export class TargetStandIn {
  private readonly server = http.createServer((req, res) => {
    this.handle(req, res).catch(() => res.destroy());
  });

  mode: TargetMode = TargetMode.Good;

  /** Whether all responses say that the target is leaving. */
  leaving = false;

  /** Value of the rate limit that all responses name, requests per second. */
  rateLimit: string | undefined;

  readonly runs: TargetRun[] = [];

  /** When requests were rejected in the mode `Sheds`, Unix ms. */
  readonly rejectedAt: number[] = [];

  /** Value of `Retry-After` in those rejections, s. */
  retryAfterS: number | undefined;

  /** Requests in flight, as sent in its load reports. */
  active = 0;

  /** Start time that its reports tell, Unix ms. */
  born = 1;

  /** Status of its load reports. */
  reportStatus = 200;

  /** How late its load reports are, ms. */
  reportDelayMs = 0;

  /** How long it stays cold by its health check, ms. */
  coldForMs = 0;

  /** Version of its software, which its entry tells. */
  version = 'v1';

  /** Whether the events of its streams tell the version that wrote them. */
  tellsVersion = false;

  /** Time between two events of a stream, ms. */
  eventIntervalMs = EVENT_INTERVAL_MS;

  /** Body of the responses of a plain service, in place of a short text. */
  plainBody: Buffer | undefined;

  /** Id of the last event before a stream breaks, in the mode `BreaksStream`. */
  breaksAfter = EVENT_COUNT / 2;

  /** Time from the start of a run to its response, ms. */
  workMs: (run: TargetRun) => number = () => 0;

  /** Whether the target crashes on a request; it is back after some time. */
  crashesOn: (run: TargetRun) => boolean = () => false;

  crashMoment: CrashMoment = CrashMoment.BeforeAnswer;

  /** Places for requests; without them, all requests run at once. */
  room: TargetRoom | undefined;

  /** How often the target fell over because it rejected too much. */
  falls = 0;

  /** Responses without end that are being sent. */
  endlessResponses = 0;

  /** Settled while the target is not silent. */
  private awake: Promise<unknown> = Promise.resolve();

  /** Whether the target was closed for good. */
  private closed = false;

  constructor(
    readonly id: string,
    readonly address: string,
    private readonly streams: boolean,
  ) {}

  async listen(): Promise<void> {
    const [host, port] = this.address.split(':');
    await new Promise<void>((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
  }

  close(): void {
    this.closed = true;
    this.stopListening();
  }

  private stopListening(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends and starts again under the same id, after some time without a process; ms. */
  async restart(downMs: number): Promise<void> {
    this.stopListening();
    await new Promise((resolve) => {
      setTimeout(resolve, downMs);
    });
    this.born = Date.now();
    await this.listen();
  }

  /** Reads and sends nothing for a while, ms, and goes on. */
  fallSilent(ms: number): Promise<unknown> {
    this.awake = delay(ms);
    return this.awake;
  }

  private crash(downMs = RESTART_MS): void {
    // Several requests may crash it at the same time, before their connections are known to be closed.
    if (!this.server.listening) return;
    this.stopListening();
    setTimeout(() => {
      if (!this.closed) void this.listen();
    }, downMs);
  }

  /** Gives the target places for requests; it falls over when it rejects more than it survives. */
  limitRoom(options: RoomOptions): TargetRoom {
    const room = new TargetRoom(options, () => {
      this.falls += 1;
      this.crash(FALL_MS);
    });
    this.room = room;
    return room;
  }

  /** Entry of this target in the store, by which gateways discover it. */
  entry(service: string, zone: string, changes: object = {}): object {
    return {
      service,
      address: this.address,
      zone,
      version: this.version,
      slots: this.room?.options.slots ?? 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: this.born,
      ...changes,
    };
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this.awake;
    if (this.leaving) res.setHeader('server-leaving', '1');
    if (this.rateLimit !== undefined) res.setHeader('server-limit', this.rateLimit);
    const { room } = this;
    if (room?.rejectionLimit !== undefined) res.setHeader('server-brittle', room.rejectionLimit);
    if (req.url === '/api/report') {
      if (this.reportDelayMs > 0) await delay(this.reportDelayMs);
      const { active, born, reportStatus } = this;
      const body = JSON.stringify({ queued: 0, inFlight: active, kvUsed: active * 1000, born });
      send(res, reportStatus, {}, reportStatus === 200 ? body : '');
      return;
    }
    if (req.url === HEALTH_PATH) {
      send(res, 200, { 'instance-id': this.id, 'cold-ms': this.coldForMs }, '');
      return;
    }
    const requestId = String(req.headers['request-id']);
    if (req.headers['expect-instance'] !== this.id) {
      res.writeHead(421, { 'instance-id': this.id, 'content-length': 0 }).end();
      return;
    }
    if (this.mode === TargetMode.EndlessRejection) {
      const head = `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: ${requestId}\r\n\r\n`;
      this.sendEndless(res, head, 'x'.repeat(ENDLESS_CHUNK_BYTES));
      return;
    }
    if (this.mode === TargetMode.Sheds) {
      this.rejectedAt.push(Date.now());
      if (this.retryAfterS !== undefined) res.setHeader('retry-after', this.retryAfterS);
      reject(res, requestId);
      return;
    }
    const body = await readText(req);
    const leaveRoom = room && (await room.enter());
    if (room && !leaveRoom) {
      reject(res, requestId);
      return;
    }
    if (leaveRoom) res.on('close', leaveRoom);
    if (res.destroyed) leaveRoom?.();
    const run: TargetRun = {
      requestId,
      startedAt: Date.now(),
      path: req.url ?? '',
      body,
      headers: req.headers,
      cancelled: false,
    };
    this.runs.push(run);
    this.active += 1;
    res.on('close', () => {
      this.active -= 1;
      run.cancelled = !res.writableFinished;
    });
    const workMs = room?.options.workMs ?? this.workMs(run);
    if (workMs > 0) await delay(workMs);
    await this.awake;
    if (this.crashesOn(run) && this.crashMoment === CrashMoment.BeforeAnswer) this.crash();
    else this.respond(run, res);
  }

  private respond(run: TargetRun, res: ServerResponse): void {
    const { requestId } = run;
    const signature = `${this.id}.${requestId}`;
    switch (this.mode) {
      case TargetMode.Fails:
        send(res, 500, { 'request-id': requestId, 'response-signature': signature }, 'failed');
        return;
      case TargetMode.Resets:
        res.socket?.resetAndDestroy();
        return;
      case TargetMode.ForeignResponse:
        send(res, 200, { 'request-id': 'another', 'response-signature': signature }, 'foreign');
        return;
      case TargetMode.Unsigned:
        send(res, 200, { 'request-id': requestId }, 'unsigned');
        return;
      case TargetMode.Unframed:
        res.socket?.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: ${signature}\r\n\r\npart`,
        );
        setTimeout(() => res.socket?.resetAndDestroy(), EVENT_INTERVAL_MS);
        return;
      case TargetMode.BreaksBody: {
        const half = this.plainBody ?? Buffer.from('half');
        const headers = { 'request-id': requestId, 'response-signature': signature };
        res.writeHead(200, { ...headers, 'content-length': 2 * half.length });
        res.write(half, () => res.socket?.resetAndDestroy());
        return;
      }
      case TargetMode.Silent:
        return;
      case TargetMode.EndlessHead:
        this.sendEndless(res, 'HTTP/1.1 200 OK\r\n', 'X-More: and more\r\n');
        return;
      case TargetMode.EndlessBody:
        this.sendEndless(
          res,
          `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: ${signature}\r\n\r\n`,
          'x'.repeat(ENDLESS_CHUNK_BYTES),
        );
        return;
      default:
        if (this.streams) this.stream(run, signature, res);
        else if (this.crashesOn(run)) {
          res.writeHead(200, {
            'request-id': requestId,
            'response-signature': signature,
            'content-length': 100,
          });
          res.write('half', () => this.crash());
        } else
          send(
            res,
            200,
            { 'request-id': requestId, 'response-signature': signature },
            this.plainBody ?? `${this.id} ran ${requestId}`,
          );
    }
  }

  private sendEndless({ socket }: ServerResponse, head: string, chunk: string): void {
    if (!socket) return;
    this.endlessResponses += 1;
    const timer = setInterval(() => socket.write(chunk), ENDLESS_INTERVAL_MS);
    socket.on('close', () => {
      this.endlessResponses -= 1;
      clearInterval(timer);
    });
    socket.on('error', () => undefined);
    socket.write(head);
  }

  private stream(run: TargetRun, signature: string, res: ServerResponse): void {
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': run.requestId,
      'response-signature': signature,
    });
    const from = Number(run.headers['last-event-id'] ?? 0) + 1;
    this.sendEvent(from, res, this.crashesOn(run) ? this.crashMoment : undefined);
  }

  private sendEvent(id: number, res: ServerResponse, crash: CrashMoment | undefined): void {
    if (res.destroyed) return;
    if (
      (crash === CrashMoment.BetweenEvents && id > this.breaksAfter) ||
      (crash === CrashMoment.BeforeEnd && id > EVENT_COUNT)
    ) {
      this.crash();
      return;
    }
    if (crash === CrashMoment.HalfEvent) {
      res.write(`id: ${id}\nda`, () => this.crash());
      return;
    }
    if (id > EVENT_COUNT) {
      res.end();
      return;
    }
    if (this.mode === TargetMode.BreaksStream && id > this.breaksAfter) {
      res.write(`id: ${id}\nda`, () => res.socket?.resetAndDestroy());
      return;
    }
    const source = this.tellsVersion ? ` of ${this.version}` : '';
    res.write(`id: ${id}\ndata: event ${id}${source}\n\n`);
    setTimeout(() => {
      void this.awake.then(() => this.sendEvent(id + 1, res, crash));
    }, this.eventIntervalMs);
  }
}

function reject(res: ServerResponse, requestId: string): void {
  res.writeHead(503, { 'not-executed': '1', 'request-id': requestId, 'content-length': 0 }).end();
}

/** Whether the prompt of a request contains a segment. */
export function hasSegment({ headers }: TargetRun, segment: string): boolean {
  return String(headers['prompt-prefix'] ?? '')
    .split(',')
    .some((part) => part.startsWith(`${segment}:`));
}

function send(res: ServerResponse, status: number, headers: object, body: string | Buffer): void {
  res.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) }).end(body);
}
