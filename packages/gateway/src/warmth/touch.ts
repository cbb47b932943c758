/**
 * Whether a gateway is out of touch: it hears neither the source nor other gateways, or not all of them, so
 * that targets may have become cold without a word of it. An outage of the source alone does not count.
 */
import type { GatewayTable } from '@marjoramcart/core';

/** What a gateway hears. */
export const Contact = {
  /** The source or all other gateways. */
  InTouch: 'in-touch',
  /** Some other gateways, or none as there are none, but not the source. */
  OutOfTouch: 'out-of-touch',
  /** Neither the source nor any of the other gateways. */
  Alone: 'alone',
} as const;
export type Contact = (typeof Contact)[keyof typeof Contact];

/** Silence of all other gateways that counts. */
const TOTAL_SILENCE_MS = 1000;
/** Silence of the source that counts then; without changes it responds every 1.5 s. */
const SOURCE_PAUSE_MS = 2000;
/** The source is heard again if it responded within this time. */
const HEARD_AGAIN_MS = 1000;
/** Silence of the source that counts if some of the other gateways are silent, too. */
const SOURCE_SILENCE_MS = 2500;
/** Silence of one gateway that counts; heartbeats of others may be that old in a large fleet. */
const GATEWAY_SILENCE_MS = 3000;

export interface TouchDeps {
  readonly table: Pick<GatewayTable, 'recent'>;
  /** Time since the source responded to this gateway or to one that told it, ms. */
  readonly sourceAgeMs: () => number;
}

export class Touch {
  private isOut = false;

  /** Kept while the records of the others expire. */
  private isAlone = false;

  constructor(private readonly deps: TouchDeps) {}

  /**
   * What this gateway hears. It is out of touch or alone until it hears of the source again.
   *
   * @param now monotonic ms
   * @example touch.contact(timers.now()) // 'in-touch'
   */
  contact(now: number): Contact {
    const ageMs = this.deps.sourceAgeMs();
    const silences = this.deps.table
      .recent(now, Infinity)
      .filter(({ leavingAt }) => leavingAt === undefined)
      .map(({ lastHeartbeatAt }) => now - lastHeartbeatAt);
    const hearsNobody = silences.length > 0 && silences.every((ms) => ms >= TOTAL_SILENCE_MS);
    const missesSome = silences.length === 0 || silences.some((ms) => ms >= GATEWAY_SILENCE_MS);
    const isOutNow = ageMs >= (hearsNobody ? SOURCE_PAUSE_MS : SOURCE_SILENCE_MS);
    if (ageMs < HEARD_AGAIN_MS) this.isOut = false;
    else if (isOutNow && (hearsNobody || missesSome)) this.isOut = true;
    if (!this.isOut) this.isAlone = false;
    else if (silences.length > 0) this.isAlone = hearsNobody;
    if (!this.isOut) return Contact.InTouch;
    return this.isAlone ? Contact.Alone : Contact.OutOfTouch;
  }
}
