/** Messages with which gateways tell each other which software versions began streams. */
import type { StreamBegin } from '@marjoramcart/core';
import { match } from 'ts-pattern';
import { encodeNotification, type Notification } from './notification.js';

const BEGUN_METHOD = 'stream.begun';
const ASK_METHOD = 'stream.ask';
const TOLD_METHOD = 'stream.told';

/** A stream with the time since its version was noted, ms. */
export type StreamRow = StreamBegin & { readonly ageMs: number };

export type StreamUpdate =
  | { readonly kind: 'begun'; readonly streams: readonly StreamRow[] }
  /** Asks which version began a stream of at most this age, ms. */
  | {
      readonly kind: 'ask';
      readonly number: number;
      readonly id: string;
      readonly service: string;
      readonly ageMs: number;
    }
  /** Answer to the question with this number; no version if the gateway does not know it. */
  | {
      readonly kind: 'told';
      readonly number: number;
      readonly version: string | undefined;
      /** Whether it was noted when the stream began, rather than concluded from the targets. */
      readonly noted: boolean;
    };

type WireRow = readonly [id: string, service: string, version: string | null, ageMs: number];

interface BegunParams {
  readonly s: readonly WireRow[];
}

interface AskParams {
  readonly n: number;
  readonly i: string;
  readonly s: string;
  readonly a: number;
}

interface ToldParams {
  readonly n: number;
  readonly v?: string;
  /** 1 if it was noted. */
  readonly o?: 0 | 1;
}

/** Encodes an update into a datagram. */
export function encodeStreamUpdate(update: StreamUpdate): Buffer {
  return match(update)
    .with({ kind: 'begun' }, ({ streams }) =>
      encodeNotification(BEGUN_METHOD, {
        s: streams.map(({ id, service, version, ageMs }): WireRow => [
          id,
          service,
          version ?? null,
          Math.round(ageMs),
        ]),
      }),
    )
    .with({ kind: 'ask' }, ({ number, id, service, ageMs }) =>
      encodeNotification(ASK_METHOD, { n: number, i: id, s: service, a: Math.round(ageMs) }),
    )
    .with({ kind: 'told' }, ({ number, version, noted }) =>
      encodeNotification(TOLD_METHOD, {
        n: number,
        ...(version === undefined ? {} : { v: version }),
        ...(noted ? { o: 1 } : {}),
      }),
    )
    .exhaustive();
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeStreamUpdate({ method, params }: Notification): StreamUpdate | undefined {
  switch (method) {
    case BEGUN_METHOD:
      return {
        kind: 'begun',
        streams: (params as BegunParams).s.map(([id, service, version, ageMs]) => ({
          id,
          service,
          version: version ?? undefined,
          ageMs,
        })),
      };
    case ASK_METHOD: {
      const { n, i, s, a } = params as AskParams;
      return { kind: 'ask', number: n, id: i, service: s, ageMs: a };
    }
    case TOLD_METHOD: {
      const { n, v, o = 0 } = params as ToldParams;
      return { kind: 'told', number: n, version: v, noted: o === 1 };
    }
    default:
      return undefined;
  }
}
