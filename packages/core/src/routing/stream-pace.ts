/**
 * Decides whether streams that run at a target are fast enough for one more. An engine that always
 * has prompts to prefill generates several times more slowly, so that streams reach their deadlines
 * before their ends and the work for them is lost. Requests are refused before that point.
 */

/** What a stream needs in order to be complete and without long gaps. */
export interface StreamNeeds {
  /** Target for the longest gap between two events, ms; absent without one. */
  readonly gapTargetMs?: number | undefined;
  /** Time from the first event to the deadline, ms. */
  readonly streamMs: number;
  /** Events of a long response of the route. */
  readonly events: number;
}

/** The mean gap has to stay below this share of the gap target, as single gaps are longer. */
const GAP_SHARE = 0.6;
/** The stream has to end within this share of the time to the deadline. */
const DEADLINE_SHARE = 0.8;
/** Range around the limit in which a growing share of the requests is refused. */
const FROM_SHARE = 0.8;
const TO_SHARE = 1.2;

/**
 * Longest mean time between the events of a target's streams at which it gets more, ms.
 *
 * @example maxPaceMs({ gapTargetMs: 600, streamMs: 9500, events: 60 }) // 126
 */
export function maxPaceMs({ gapTargetMs = Infinity, streamMs, events }: StreamNeeds): number {
  const byDeadline = (Math.max(0, streamMs) * DEADLINE_SHARE) / Math.max(1, events);
  return Math.min(gapTargetMs * GAP_SHARE, byDeadline);
}

/**
 * Whether a target whose streams run at this pace is too slow for a request. Near the limit only a
 * share of the requests is refused, so that gateways with the same reports do not all stop at once.
 *
 * @param sample number between 0 and 1 that stays the same for a request
 * @example isTooSlow(160, 126, 0.5) // true
 */
export function isTooSlow(paceMs: number, limitMs: number, sample: number): boolean {
  const excess = (paceMs / limitMs - FROM_SHARE) / (TO_SHARE - FROM_SHARE);
  return sample < excess;
}

/** Weight of a sample in the ratio of events to tokens. */
const RATIO_WEIGHT = 0.02;
/** Step of the quantile as a share of its value. */
const QUANTILE_STEP = 0.05;
/** Share of the responses of a route that are shorter than its long ones. */
const LONG_QUANTILE = 0.9;
const MAX_ROUTES = 4096;

/** Learns how many events long responses of a route have. */
export class StreamLengths {
  /** Events of a complete stream per expected output token, by service. */
  private readonly eventsPerToken = new Map<string, number>();

  /** Expected output tokens of long responses, by route. */
  private readonly longTokens = new Map<string, number>();

  /** Notes the expected output of a request; the route learns from refused ones too. */
  onRequest(route: string, expectedOutputTokens: number): void {
    if (expectedOutputTokens <= 0) return;
    const before = this.longTokens.get(route);
    if (before === undefined) {
      if (this.longTokens.size >= MAX_ROUTES) this.longTokens.clear();
      this.longTokens.set(route, expectedOutputTokens);
      return;
    }
    const step = before * QUANTILE_STEP;
    const isLonger = expectedOutputTokens > before;
    this.longTokens.set(route, before + step * (isLonger ? LONG_QUANTILE : LONG_QUANTILE - 1));
  }

  /** Notes a complete stream. */
  onComplete(service: string, events: number, expectedOutputTokens: number): void {
    if (events <= 0 || expectedOutputTokens <= 0) return;
    const ratio = events / expectedOutputTokens;
    const before = this.eventsPerToken.get(service) ?? ratio;
    this.eventsPerToken.set(service, before + (ratio - before) * RATIO_WEIGHT);
  }

  /**
   * Events of a long response; undefined until a stream of the service was complete.
   *
   * @example lengths.longEvents('answers', 'llm') // 58
   */
  longEvents(route: string, service: string): number | undefined {
    const tokens = this.longTokens.get(route);
    const ratio = this.eventsPerToken.get(service);
    return tokens === undefined || ratio === undefined ? undefined : tokens * ratio;
  }
}
