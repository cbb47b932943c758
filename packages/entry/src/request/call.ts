/** An authenticated and parsed request that passed the residency check; ready for admission. */
import type {
  CustomerConfig,
  ForwardHop,
  IdempotencyKey,
  ResultCode,
  RoutedRequest,
  ServiceConfig,
} from '@marjoramcart/core';

export interface Call {
  readonly id: string;
  readonly customer: CustomerConfig;
  readonly service: string;
  readonly config: ServiceConfig;
  readonly method: string;
  /** Path and query at the target. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer;
  readonly stream: boolean;
  readonly repeatable: boolean;
  readonly key: IdempotencyKey | undefined;
  /** SHA-256 over customer, service and request content; identifies a suspect. */
  readonly digest: string;
  readonly routed: RoutedRequest;
  /** Monotonic ms. */
  readonly arrivedAt: number;
  /** Monotonic ms. */
  readonly deadlineAt: number;
  /** Processes that forwarded the request, in order. */
  readonly visited: readonly ForwardHop[];
}

/** Rejection of a request before it was converted into a call. */
export interface Rejection {
  readonly kind: 'rejected';
  readonly code: ResultCode;
  readonly detail?: string;
  /** Further fields of the error body. */
  readonly fields?: Readonly<Record<string, unknown>>;
  /** Closes the connection, since the rest of the request is not read. */
  readonly close?: boolean;
  /** The residency rules allow this entry to read and discard the rest of the request. */
  readonly mayDrainBody?: boolean;
}

/**
 * Creates a rejection.
 *
 * @example rejected(ResultCodes.MissingApiKey)
 */
export function rejected(code: ResultCode, extra: Partial<Rejection> = {}): Rejection {
  return { ...extra, kind: 'rejected', code };
}
