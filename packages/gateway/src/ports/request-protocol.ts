/** Interfaces to the protocols of callers, gateways and targets, which a platform adapter implements. */
import type { IncomingMessage } from 'node:http';
import type {
  ApiKey,
  LoadReport,
  Prompt,
  RateLimitSignal,
  RunEvents,
  TargetRecord,
} from '@marjoramcart/core';

/** Flat list of header names and values, as Node.js reads and writes them. */
export type HeaderList = string[];

/** Decoded head of a request. */
export interface CallHead {
  /** Id of this attempt of the caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  /** Headers of the caller that may be forwarded; without the API key if that was read. */
  readonly headers: HeaderList;
  /** Present if the API key was read. */
  readonly apiKey?: ApiKey;
  /** How long the caller waits, ms; absent when the request does not contain it. */
  readonly deadlineMs?: number;
  /** Present when the request generates tokens. */
  readonly prompt?: Prompt;
  /** Id of the event after which the caller resumes a stream. */
  readonly resumeAfter?: number;
  /** Id of the caller's attempt that brought the first event of a resumed stream. */
  readonly resumes?: string;
}

export type CallHeadResult =
  | { readonly kind: 'call'; readonly head: CallHead }
  | { readonly kind: 'invalid'; readonly message: string };

/** Values that differ between the attempts of a call. */
export interface AttemptFields {
  readonly remainingMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Name of the customer whose request it is. */
  readonly customer?: string;
  /** Id of the event after which the stream resumes. */
  readonly resumeAfter?: number;
  /** `ip:port` of a target from which the receiver fetches its cached tokens of the prompt. */
  readonly fetchFrom?: string;
}

/** Decoded head of a response. */
export type ResponseHead =
  /** A response of a target to this request. */
  | {
      readonly kind: 'genuine';
      readonly status: number;
      readonly stream: boolean;
      /** Load of the target, when the response contains it. */
      readonly report?: LoadReport;
    }
  /** The target reports that it did not run the request and will not run it. */
  | { readonly kind: 'not-run'; readonly misdirected: boolean; readonly retryAfterMs?: number }
  /** Not a valid response to this request. */
  | { readonly kind: 'invalid'; readonly message: string };

/** What a target says about itself in the head of any response, also of a rejection. */
export interface TargetSignals {
  /** The target is leaving: it wants no new requests and ends soon. */
  readonly leaving: boolean;
  readonly rateLimit: RateLimitSignal;
  /** Rejections per second that the target bears without falling over; absent if it names no limit. */
  readonly rejectionLimit?: number;
  /** How long the target wants no requests from this gateway, ms; absent unless it says so. */
  readonly pauseMs?: number;
}

export interface RequestProtocol {
  /**
   * @param readsKey whether the deployment has customers: the API key is read, and neither the key nor
   *   the name of a customer that the caller sent is forwarded
   */
  readHead(req: IncomingMessage, readsKey: boolean): CallHeadResult;
  /** Headers of the request to a target. */
  targetHeaders(call: CallHead, fields: AttemptFields, target: TargetRecord): HeaderList;
  /** Headers of the request to another gateway, which decodes them with `readHead`. */
  peerHeaders(call: CallHead, fields: AttemptFields): HeaderList;
  readResponseHead(res: IncomingMessage, call: CallHead): ResponseHead;
  readTargetSignals(res: IncomingMessage): TargetSignals;
  /** Headers of a response that are forwarded to the caller. */
  responseHeaders(rawHeaders: readonly string[]): HeaderList;
}

/** Query of a caller to the directory. */
export interface DirectoryQuery {
  readonly host: string;
  readonly region: string;
  readonly failureDomain: string;
}

export interface DirectoryProtocol {
  /** Undefined when the request is not a directory query. */
  readQuery(req: IncomingMessage): DirectoryQuery | undefined;
  /** Encodes the body of the response, JSON. */
  encodeResponse(addresses: readonly string[], ttlS: number): string;
  isReadyCheck(req: IncomingMessage): boolean;
}

/** Load report of an engine with its runs. */
export interface EngineReport extends LoadReport {
  /** Runs that have generated events; empty if the report lists none. */
  readonly runs: readonly RunEvents[];
}

/** What a target tells by its health check. */
export interface TargetHealth {
  /** Id of the target that responded. */
  readonly target: string;
  /** How much longer it is cold, ms; 0 if it is warm. */
  readonly coldForMs: number;
}

/** Protocol for polling load reports of targets. */
export interface ReportProtocol {
  readonly path: string;
  /** Undefined when the body is not a valid report. */
  decode(body: Buffer): EngineReport | undefined;
  /** How long work takes at the target now by its own word, percent of the usual time. */
  readSlowness(res: IncomingMessage): number | undefined;
  readTargetSignals(res: IncomingMessage): TargetSignals;
  /** Decodes the response to a health check; undefined when it does not say that the target is healthy. */
  readHealth(res: IncomingMessage): TargetHealth | undefined;
}
