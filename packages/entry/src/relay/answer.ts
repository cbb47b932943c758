/**
 * The answer to one caller. It keeps the order start, data, end; an answer that can't be completed
 * ends visibly: as an error body when nothing was sent, else as an error event or a cut connection.
 */
import type { ServerResponse } from 'node:http';
import { ResultCodes, type ResultCode, type RunState } from '@marjoramcart/core';

/** Values of the `marjoramcart-*` headers that differ between answers. */
export interface ResponseMeta {
  readonly code: ResultCode;
  readonly run: RunState;
  readonly target?: string;
  /** Region that ran the call; the own one when left out. */
  readonly region?: string;
  readonly attempts: number;
}

/** A complete answer as kept for re-sends of a keyed call. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly meta: ResponseMeta;
}

/** Longest answer that is kept for re-sends. */
const MAX_RECORDED_BYTES = 1024 * 1024;

export type HeaderFields = Readonly<Record<string, string | string[]>>;

export interface CallerResponseOptions {
  /** Headers that are the same for all answers of this entry. */
  readonly commonHeaders: () => HeaderFields;
  /** Keeps the answer for re-sends and completes it although the caller has gone. */
  readonly record: boolean;
}

/** Additions to an error answer. */
export interface FailOptions {
  /** Further fields of the error body. */
  readonly fields?: Readonly<Record<string, unknown>>;
  readonly headers?: HeaderFields;
  /** Closes the connection, since the rest of the request is not read. */
  readonly close?: boolean;
  /**
   * Called once the error body is written, when nothing of an answer was sent before. The answer
   * is then not ended, and this function closes the connection.
   */
  readonly onWritten?: () => void;
}

export class CallerResponse {
  private started = false;

  private finished = false;

  private readonly disconnectListeners = new Set<() => void>();

  private disconnected = false;

  private recorded: Buffer[] = [];

  private recordedBytes = 0;

  private head: Omit<RecordedResponse, 'body'> | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly options: CallerResponseOptions,
  ) {
    res.on('error', () => undefined);
    res.on('close', () => {
      if (res.writableFinished) return;
      this.disconnected = true;
      this.disconnectListeners.forEach((listener) => listener());
      this.disconnectListeners.clear();
    });
  }

  /** Whether bytes of a target's answer went to the caller. */
  get hasStarted(): boolean {
    return this.started;
  }

  /** Whether the caller has left and nobody else waits for the answer. */
  get abandoned(): boolean {
    return this.disconnected && !this.options.record;
  }

  /** Calls `listener` when the caller leaves and the answer isn't kept. */
  onAbandoned(listener: () => void): () => void {
    if (this.options.record) return () => undefined;
    if (this.disconnected) listener();
    else this.disconnectListeners.add(listener);
    return () => this.disconnectListeners.delete(listener);
  }

  start(status: number, headers: HeaderFields, meta: ResponseMeta): void {
    this.started = true;
    this.head = { status, headers, meta };
    if (!this.disconnected) this.res.writeHead(status, { ...headers, ...this.metaHeaders(meta) });
  }

  /** Sends data; false when the caller reads too slowly, until `onDrain`. */
  write(chunk: Buffer): boolean {
    this.keep(chunk);
    return this.disconnected || this.res.write(chunk);
  }

  onDrain(listener: () => void): void {
    if (this.disconnected) {
      listener();
      return;
    }
    const once = (): void => {
      this.res.off('drain', once);
      this.res.off('close', once);
      listener();
    };
    this.res.once('drain', once);
    this.res.once('close', once);
  }

  end(): void {
    this.finished = true;
    if (!this.disconnected) this.res.end();
  }

  /** Sends a whole answer. */
  send(status: number, headers: HeaderFields, body: Buffer, meta: ResponseMeta): void {
    this.start(status, { ...headers, 'content-length': String(body.length) }, meta);
    this.keep(body);
    this.finished = true;
    if (!this.disconnected) this.res.end(body);
  }

  /** Ends the answer with an error. */
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
      this.res.writeHead(meta.code.status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        ...retryAfter,
        ...(close ? { connection: 'close' } : {}),
        ...headers,
        ...this.metaHeaders(meta),
      });
      if (onWritten) this.res.write(text, onWritten);
      else this.res.end(text);
      return;
    }
    // A clean end would make the truncated stream look complete.
    this.res.write(`event: error\ndata: ${text}\n\n`, () => this.res.destroy());
  }

  /** Cuts the connection after an error event of another entry was passed on. */
  abort(): void {
    this.finished = true;
    // A comment line, whose callback tells that all data before it was written.
    if (!this.disconnected) this.res.write(':\n\n', () => this.res.destroy());
  }

  /** The complete answer; undefined when it is incomplete, too long or not kept. */
  get recording(): RecordedResponse | undefined {
    if (!this.head || !this.options.record || this.recordedBytes > MAX_RECORDED_BYTES) {
      return undefined;
    }
    return { ...this.head, body: Buffer.concat(this.recorded) };
  }

  private keep(chunk: Buffer): void {
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
 * Text of an error body.
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

/** Meta values of a complete answer. */
export function completeMeta(target: string, attempts: number, region?: string): ResponseMeta {
  return { code: ResultCodes.Ok, run: ResultCodes.Ok.run, target, region, attempts };
}
