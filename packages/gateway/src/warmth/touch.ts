/**
 * Whether a gateway is out of touch: it hears neither the source nor the gateways of another failure domain,
 * so that targets may have become cold without a word of it. An outage of the source alone does not count,
 * nor one beside single gateways that have ended.
 */
import type { GatewayTable, KnownGateway } from '@marjoramcart/core';

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
/** Silence of the source that counts if another failure domain is silent, too. */
const SOURCE_SILENCE_MS = 2500;
/** Silence of a failure domain that counts; heartbeats may be that old in a large fleet. */
const DOMAIN_SILENCE_MS = 3000;

export interface TouchDeps {
  /** Failure domain of this gateway. */
  readonly failureDomain: string;
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
    const others = this.deps.table
      .recent(now, Infinity)
      .filter(({ leavingAt }) => leavingAt === undefined);
    const isSilentFor = (ms: number, { lastHeartbeatAt }: KnownGateway): boolean =>
      now - lastHeartbeatAt >= ms;
    const hearsNobody =
      others.length > 0 && others.every((other) => isSilentFor(TOTAL_SILENCE_MS, other));
    const heard = others.filter((other) => !isSilentFor(DOMAIN_SILENCE_MS, other));
    const heardDomains = new Set([this.deps.failureDomain, ...heard.map(domainOf)]);
    const missesDomain = others.some((other) => !heardDomains.has(domainOf(other)));
    const isOutNow = ageMs >= (hearsNobody ? SOURCE_PAUSE_MS : SOURCE_SILENCE_MS);
    if (ageMs < HEARD_AGAIN_MS) this.isOut = false;
    else if (isOutNow && (hearsNobody || missesDomain || others.length === 0)) this.isOut = true;
    if (!this.isOut) this.isAlone = false;
    else if (others.length > 0) this.isAlone = hearsNobody;
    if (!this.isOut) return Contact.InTouch;
    return this.isAlone ? Contact.Alone : Contact.OutOfTouch;
  }
}

function domainOf({ record }: KnownGateway): string {
  return record.failureDomain;
}
