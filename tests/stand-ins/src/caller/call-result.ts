/** Types of the responses that a caller of the gateway receives. */
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

/** Object `error` in the body of an error response. */
export interface ErrorBody {
  readonly code: number;
  readonly name: string;
  readonly run: string;
  readonly message: string;
  readonly next: string;
  readonly entries?: readonly ListedEntry[];
  readonly key_prefix?: string;
}

/** Response as the caller receives it, also when it is incomplete. */
export interface CallResult {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Number of the result code, taken from the error body or else from the response header. */
  readonly code: number;
  readonly run: string;
  /** Whether the HTTP response ended normally, without an error, and a stream with `[DONE]`. */
  readonly complete: boolean;
  readonly text: string;
  readonly events: readonly StreamEvent[];
  readonly error: ErrorBody | undefined;
  /** Time to the first event of a stream, or to the headers of any other response, in ms. */
  readonly firstTokenMs: number;
  /** Error message of the connection; undefined unless the connection failed. */
  readonly broken: string | undefined;
}
