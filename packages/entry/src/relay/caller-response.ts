/**
 * The response to one caller, sent in the order start, data, end. If it can't be completed, it ends
 * with an error body when nothing was sent yet, else with an error event and a closed connection.
 */
import type { ServerResponse } from 'node:http';
import { ResultCodes, type ResultCode, type RunState } from '@marjoramcart/core';
import { closeAfter } from '@marjoramcart/runtime';

/** Values of the `marjoramcart-*` headers that differ between responses. */
export interface ResponseMeta {
  readonly code: ResultCode;
  readonly run: RunState;
  readonly target?: string;
  /** Region that ran the call; defaults to the local region. */
  readonly region?: string;
  readonly attempts: number;
}

/** A complete response, stored for retries of a call with an idempotency key. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly meta: ResponseMeta;
}

/** No content and not modified. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Largest response body that is stored for retries. */
const MAX_RECORDED_BYTES = 1024 * 1024;

export type HeaderFields = Readonly<Record<string, string | string[]>>;

export interface CallerResponseOptions {
  /** Headers that are the same for all responses of this entry. */
  readonly commonHeaders: () => HeaderFields;
  /** Stores the response for retries and completes it even if the caller disconnects. */
  readonly record: boolean;
}

/** Additions to an error response. */
export interface FailOptions {
  /** Further fields of the error body. */
  readonly fields?: Readonly<Record<string, unknown>>;
  readonly headers?: HeaderFields;
  /** Closes the connection, since the rest of the request is not read, but not with others in flight. */
  readonly close?: boolean;
  /**
   * Called after the error body was written, if nothing was sent before. The response is then not
   * ended, and this function must close the connection.
   */
  readonly onWritten?: () => void;
}

export class CallerResponse {
  private started = false;

  private finished = false;

  private readonly disconnectListeners = new Set<() => void>();

  /** Called when the caller disconnects, also while the response is recorded. */
  private readonly drainListeners = new Set<() => void>();

  private disconnected = false;

  private recorded: Buffer[] = [];

  private recordedBytes = 0;

  private recordedHead: Omit<RecordedResponse, 'body'> | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly options: CallerResponseOptions,
  ) {
    res.on('error', () => undefined);
    const { socket } = res.req;
    const onClose = (): void => {
      socket.off('close', onClose);
      res.off('close', onClose);
      if (res.writableFinished) return;
      this.disconnected = true;
      [...this.drainListeners, ...this.disconnectListeners].forEach((listener) => listener());
      this.drainListeners.clear();
      this.disconnectListeners.clear();
    };
    res.on('close', onClose);
    // A response that waits for an earlier one on its connection does not tell of the end of that.
    socket.on('close', onClose);
  }

  /** Whether the response was started. */
  get hasStarted(): boolean {
    return this.started;
  }

  /** Whether the caller disconnected and the response is not recorded for retries. */
  get abandoned(): boolean {
    return this.disconnected && !this.options.record;
  }

  /** Calls `listener` when the caller disconnects, unless the response is recorded. */
  onAbandoned(listener: () => void): () => void {
    if (this.options.record) return () => undefined;
    if (this.disconnected) listener();
    else this.disconnectListeners.add(listener);
    return () => this.disconnectListeners.delete(listener);
  }

  start(status: number, headers: HeaderFields, meta: ResponseMeta): void {
    this.started = true;
    this.recordedHead = { status, headers, meta };
    if (!this.disconnected) this.res.writeHead(status, { ...headers, ...this.metaHeaders(meta) });
  }

  /** Sends data; returns false when the caller must drain its buffer first (see `onDrain`). */
  write(chunk: Buffer): boolean {
    this.recordChunk(chunk);
    return this.disconnected || this.res.write(chunk);
  }

  onDrain(listener: () => void): void {
    if (this.disconnected) {
      listener();
      return;
    }
    const onDrained = (): void => {
      this.res.off('drain', onDrained);
      this.drainListeners.delete(onDrained);
      listener();
    };
    this.res.once('drain', onDrained);
    this.drainListeners.add(onDrained);
  }

  end(): void {
    this.finished = true;
    if (!this.disconnected) this.res.end();
  }

  /** Sends a complete response. */
  send(status: number, headers: HeaderFields, body: Buffer, meta: ResponseMeta): void {
    // The caller would wait for a body of this length.
    const length: HeaderFields = BODILESS_STATUSES.has(status)
      ? {}
      : { 'content-length': String(body.length) };
    this.start(status, { ...headers, ...length }, meta);
    this.recordChunk(body);
    this.finished = true;
    if (!this.disconnected) this.res.end(body);
  }

  /** Ends the response with an error. */
  fail(
    meta: ResponseMeta,
    { fields = {}, headers = {}, close = false, onWritten }: FailOptions = {},
  ): void {
    if (this.finished) return;
    this.finished = true;
    if (this.disconnected) return;
    const text = errorBody(meta, fields);
    if (!this.started) {
      const retryAfter = meta.code.next.includes('Retry-After') ? { 'retry-after': '1' } : {};
      if (close) closeAfter(this.res);
      this.res.writeHead(meta.code.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        ...retryAfter,
        ...headers,
        ...this.metaHeaders(meta),
      });
      if (onWritten) this.res.write(text, onWritten);
      else this.res.end(text);
      return;
    }
    // A regular end would make the truncated stream look complete.
    this.res.write(`event: error\ndata: ${text}\n\n`, () => this.res.destroy());
  }

  /** Closes the connection after an error event of the sender was relayed. */
  abort(): void {
    this.finished = true;
    // The callback of this SSE comment line runs after all data before it was written.
    if (!this.disconnected) this.res.write(':\n\n', () => this.res.destroy());
  }

  /** The complete response; undefined when it is incomplete, too large or not recorded. */
  get recording(): RecordedResponse | undefined {
    if (!this.recordedHead || !this.options.record || this.recordedBytes > MAX_RECORDED_BYTES) {
      return undefined;
    }
    return { ...this.recordedHead, body: Buffer.concat(this.recorded) };
  }

  private recordChunk(chunk: Buffer): void {
    if (!this.options.record) return;
    this.recordedBytes += chunk.length;
    if (this.recordedBytes <= MAX_RECORDED_BYTES) this.recorded.push(chunk);
    else this.recorded = [];
  }

  private metaHeaders(meta: ResponseMeta): HeaderFields {
    return {
      ...this.options.commonHeaders(),
      ...(meta.region === undefined ? {} : { 'marjoramcart-region': meta.region }),
      ...(meta.target === undefined ? {} : { 'marjoramcart-target': meta.target }),
      'marjoramcart-code': String(meta.code.code),
      'marjoramcart-run': meta.run,
      'marjoramcart-attempts': String(meta.attempts),
    };
  }
}

/**
 * JSON of an error body.
 *
 * @example errorBody({ code: ResultCodes.NoReadyTarget, run: 'not_run', attempts: 0 })
 */
export function errorBody(
  { code, run }: Pick<ResponseMeta, 'code' | 'run'>,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  const { message, next, name } = code;
  return JSON.stringify({ error: { code: code.code, name, run, message, next, ...fields } });
}

/** Metadata of a complete response. */
export function completeMeta(target: string, attempts: number, region?: string): ResponseMeta {
  return { code: ResultCodes.Ok, run: ResultCodes.Ok.run, target, region, attempts };
}
