/** Port: how callers, gateways and targets speak. The platform's adapter implements it. */
import type { IncomingMessage } from 'node:http';
import type { Prompt, TargetRecord, LoadReport } from '@marjoramcart/core';

/** Flat list of header names and values, as Node.js reads and writes them. */
export type HeaderList = string[];

/** Head of a request, decoded. */
export interface CallHead {
  /** Names this attempt of the client. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** With the query. */
  readonly path: string;
  /** Headers of the caller that may be passed on. */
  readonly headers: HeaderList;
  /** How long the caller waits, ms; absent when it does not say. */
  readonly deadlineMs?: number;
  /** Present when the request generates tokens. */
  readonly prompt?: Prompt;
  /** The caller continues a stream after this event. */
  readonly resumeAfter?: number;
}

export type CallHeadResult =
  | { readonly kind: 'call'; readonly head: CallHead }
  | { readonly kind: 'invalid'; readonly message: string };

/** What is set anew for each attempt. */
export interface AttemptFields {
  readonly remainingMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The stream goes on after this event. */
  readonly resumeAfter?: number;
  /** `ip:port` of a target from which the receiver fetches what it holds of the prompt. */
  readonly fetchFrom?: string;
}

/** Head of an answer, decoded. */
export type ResponseHead =
  /** An answer of a target to this very request. */
  | {
      readonly kind: 'genuine';
      readonly status: number;
      readonly stream: boolean;
      /** Load of the target, when its answers tell it. */
      readonly report?: LoadReport;
    }
  /** The target says that it did not run the request and never will. */
  | { readonly kind: 'not-run'; readonly misdirected: boolean; readonly retryAfterMs?: number }
  /** Bytes that can't be taken for the answer to this request. */
  | { readonly kind: 'invalid'; readonly message: string };

export interface RequestProtocol {
  readHead(req: IncomingMessage): CallHeadResult;
  /** Headers of the request to a target. */
  targetHeaders(call: CallHead, fields: AttemptFields, target: TargetRecord): HeaderList;
  /** Headers of the request to another gateway, which decodes them with `readHead`. */
  peerHeaders(call: CallHead, fields: AttemptFields): HeaderList;
  readResponseHead(res: IncomingMessage, call: CallHead): ResponseHead;
  /** Headers of an answer that the caller gets. */
  responseHeaders(rawHeaders: readonly string[]): HeaderList;
}

/** What a caller asks the directory for. */
export interface DirectoryQuery {
  readonly host: string;
  readonly region: string;
  readonly failureDomain: string;
}

export interface DirectoryProtocol {
  /** Undefined when the request is none for the directory. */
  readQuery(req: IncomingMessage): DirectoryQuery | undefined;
  /** Body of the answer, JSON. */
  encodeResponse(addresses: readonly string[], ttlS: number): string;
  isReadyCheck(req: IncomingMessage): boolean;
}

/** How targets are asked for reports of their load. */
export interface ReportProtocol {
  readonly path: string;
  /** Undefined when the body is no report. */
  decode(body: Buffer): LoadReport | undefined;
}
