/** What a caller of the gateway receives. */
import type { IncomingHttpHeaders } from 'node:http';
import type { StreamEvent } from './event-stream.js';

/** One entry of `GET /v1/entries`. */
export interface ListedEntry {
  readonly boot_id: string;
  readonly key_prefix: string;
  readonly address: string;
  readonly region: string;
  readonly ttl_ms: number;
}

/** Error part of an answer. */
export interface ErrorBody {
  readonly code: number;
  readonly name: string;
  readonly run: string;
  readonly message: string;
  readonly next: string;
  readonly entries?: readonly ListedEntry[];
  readonly key_prefix?: string;
}

/** An answer as the caller sees it. */
export interface CallResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Number of the result code: of the error if there is one, otherwise of the header. */
  readonly code: number;
  readonly run: string;
  /** Whether the answer ended as HTTP requires and, if it is a stream, with `[DONE]`. */
  readonly complete: boolean;
  readonly text: string;
  readonly events: readonly StreamEvent[];
  readonly error: ErrorBody | undefined;
  /** Time to the first event of a stream or to the headers of another answer, ms. */
  readonly firstTokenMs: number;
  /** Set when the connection broke. */
  readonly broken: string | undefined;
}
