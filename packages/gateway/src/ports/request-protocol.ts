/** Interfaces to the protocols of callers, gateways and targets, which a platform adapter implements. */
import type { IncomingMessage } from 'node:http';
import type { LoadReport, Prompt, RateLimitSignal, TargetRecord } from '@marjoramcart/core';

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
  /** Headers of the caller that may be forwarded. */
  readonly headers: HeaderList;
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
}

export interface RequestProtocol {
  readHead(req: IncomingMessage): CallHeadResult;
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

/** Protocol for polling load reports of targets. */
export interface ReportProtocol {
  readonly path: string;
  /** Undefined when the body is not a valid report. */
  decode(body: Buffer): LoadReport | undefined;
  /** How long work takes at the target now by its own word, percent of the usual time. */
  readSlowness(res: IncomingMessage): number | undefined;
  /** Ids of the requests in a report whose runs have made events. */
  decodeRuns(body: Buffer): readonly string[];
  readTargetSignals(res: IncomingMessage): TargetSignals;
}
