/**
 * Finds prompt segments and whole requests that crash targets, both identified by keys. Every request
 * that awaited its first byte when a target died is a witness against its keys; a request that is
 * answered clears them. A key is refused after several deaths without an answer in between. All
 * gateways exchange what they saw, as one of them rarely sees enough.
 */
import { hashOf } from '../rendezvous.js';

/** What one process knows about a key; times are relative, so that clocks need not agree. */
export interface SuspectRow {
  /** Id of a segment, or the key of a request that `requestKey` returns. */
  readonly key: string;
  /** Deaths since the key was last cleared. */
  readonly deaths: readonly SuspectDeath[];
  /** Time since a request with the key was answered; absent if none was since the first death. */
  readonly clearedAgeMs?: number;
}

export interface SuspectDeath {
  /** Identifies the target that died. */
  readonly target: number;
  /** Identifies one of the requests with the key that the target had, by its content. */
  readonly request: number;
  readonly ageMs: number;
  /** Time from the sending of the request to the death; absent in messages of earlier releases. */
  readonly ranMs?: number;
}

type DeathTimes = Pick<SuspectDeath, 'ageMs' | 'ranMs'>;

/** Why a request is refused. */
export interface CrashVerdict {
  readonly key: string;
  /** Deaths that count, without those at nearly the same time. */
  readonly deaths: number;
  readonly lastDeathAgeMs: number;
  /** Time until a request with the key is tried again. */
  readonly retryAfterMs: number;
}

interface Death {
  readonly target: number;
  readonly request: number;
  readonly at: number;
  /** When the request was sent to the target; -Infinity if that is not known. */
  readonly sentAt: number;
}

interface Suspect {
  /** Oldest first. */
  deaths: readonly Death[];
  clearedAt: number;
  /** When this process last tried a request although its key is refused. */
  triedAt: number;
}

/** Deaths after which a key is refused. */
const MAX_DEATHS = 3;
/** The same for a key whose requests were answered before the first death. */
const MAX_DEATHS_KNOWN_GOOD = 5;
/** Targets that die within this time, as in the loss of a rack, count as one death. */
const SAME_CAUSE_MS = 300;
/** Accuracy of the order of events that another gateway reports. */
const ORDER_ACCURACY_MS = 20;
/** Gateways notice one death of a target within this time; a later one is another, after a restart. */
const SAME_DEATH_MS = 1000;
/** A single request that was sent again is no evidence against the segments that it shares. */
const MIN_REQUESTS = 2;
/** Lifetime of a refused key since its last death. */
const REFUSED_LIFETIME_MS = 600_000;
/** Lifetime of a key that is not refused. */
const SUSPECT_LIFETIME_MS = 60_000;
const KNOWN_GOOD_LIFETIME_MS = 300_000;
/** The news that a key was cleared is repeated for this time. */
const CLEARED_SENT_MS = 10_000;
/** A refused key is tried again after this time, then after twice as long each time. */
const MIN_TRIAL_DELAY_MS = 20_000;
const MAX_TRIAL_DELAY_MS = 300_000;
/** A whole request that also crashed targets in so many trials is not tried again. */
const MAX_REQUEST_TRIALS = 3;
/** Shortest time between two requests that try the same refused key again. */
const TRIAL_MS = 10_000;
const MAX_SUSPECTS = 256;
const MAX_DEATHS_KEPT = 8;
const MAX_KNOWN_GOOD = 2000;
/** Segments whose ids begin with this are not tracked, so that no caller can name the key of a request. */
const REQUEST_KEY_PREFIX = 'request ';

/**
 * Key of a whole request.
 *
 * @param size size of the body, bytes; with the path, it tells most requests apart without a digest
 * @param digest returns a digest of the whole request; called only if `isTracked` is true
 * @param isTracked whether any key begins with the given text; absent to get the key in any case
 * @returns undefined if no request with that path and size is tracked
 * @example requestKey('/orders/7', 16, () => 'x9Zk', (prefix) => suspects.hasPrefix(prefix))
 */
export function requestKey(
  path: string,
  size: number,
  digest: () => string,
  isTracked: (prefix: string) => boolean = () => true,
): string | undefined {
  const prefix = `${REQUEST_KEY_PREFIX}${hashOf(path).toString(36)} ${size} `;
  return isTracked(prefix) ? prefix + digest() : undefined;
}

/** Whether a segment with that id can be tracked. */
export function isSegmentKey(id: string): boolean {
  return !id.startsWith(REQUEST_KEY_PREFIX);
}

export class CrashSuspects {
  private readonly suspects = new Map<string, Suspect>();

  /** Keys by the time at which a request with them was last answered, oldest first. */
  private readonly answeredAt = new Map<string, number>();

  /** Number of keys that are tracked. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether a key that begins with this text is tracked. */
  hasPrefix(prefix: string): boolean {
    return [...this.suspects.keys()].some((key) => key.startsWith(prefix));
  }

  /**
   * Counts the death of a target that had not answered a request yet.
   *
   * @param request identifies the request; the same when it comes again
   * @param keys its segments that it shares with others, and its own key
   * @param now monotonic ms, as in all methods
   * @param times age of the death, and how long the request had been at the target, ms
   * @returns rows for the other gateways
   * @example suspects.onDeath('i-1', 'req-7', ['system', 'document'], timers.now())
   */
  onDeath(
    target: string,
    request: string,
    keys: readonly string[],
    now: number,
    { ageMs, ranMs }: DeathTimes = { ageMs: 0 },
  ): SuspectRow[] {
    const death = {
      target: hashOf(target),
      request: hashOf(request),
      ageMs,
      ...(ranMs === undefined ? {} : { ranMs }),
    };
    const rows = keys.map((key) => ({ key, deaths: [death] }));
    this.merge(rows, now);
    return rows;
  }

  /**
   * Clears the keys of a request that was answered.
   *
   * @param firstByteAt when its first byte arrived; deaths after that still count
   * @returns rows of the keys that were suspects, for the other gateways
   */
  onAnswered(keys: readonly string[], firstByteAt: number, now: number): SuspectRow[] {
    keys.forEach((key) => this.rememberAnswer(key, firstByteAt));
    return keys
      .filter((key) => this.clear(key, firstByteAt))
      .map((key) => ({ key, deaths: [], clearedAgeMs: now - firstByteAt }));
  }

  /** Adds what another gateway saw. */
  merge(rows: readonly SuspectRow[], now: number): void {
    rows.forEach(({ key, deaths, clearedAgeMs }) => {
      if (deaths.length > 0) this.addDeaths(key, deaths, now);
      if (clearedAgeMs !== undefined) this.clear(key, now - clearedAgeMs);
    });
  }

  /**
   * The key for which a request is refused; undefined when it may run.
   *
   * @param maySendTrial whether this gateway tries a refused key again; one of the fleet should
   * @example suspects.verdict(['system', 'document'], () => false, timers.now()) // undefined
   */
  verdict(
    keys: readonly string[],
    maySendTrial: (key: string) => boolean,
    now: number,
  ): CrashVerdict | undefined {
    if (this.suspects.size === 0) return undefined;
    return keys
      .map((key) => this.verdictOn(key, maySendTrial, now))
      .find((verdict) => verdict !== undefined);
  }

  /** Notes that a request with refused keys is sent to find out whether it still crashes targets. */
  onSend(keys: readonly string[], now: number): void {
    keys.forEach((key) => {
      const suspect = this.suspects.get(key);
      if (suspect && this.isRefused(key, suspect)) suspect.triedAt = now;
    });
  }

  /** Rows of the strongest suspects with several deaths, and of those cleared lately. */
  rows(limit: number, now: number): SuspectRow[] {
    this.expire(now);
    return [...this.suspects]
      .filter(
        ([key, suspect]) =>
          countSeparate(key, suspect) > 1 || now - suspect.clearedAt < CLEARED_SENT_MS,
      )
      .sort(([, a], [, b]) => b.deaths.length - a.deaths.length)
      .slice(0, limit)
      .map(([key, { deaths, clearedAt }]) => ({
        key,
        deaths: deaths.map(({ target, request, at, sentAt }) => ({
          target,
          request,
          ageMs: Math.round(now - at),
          ...(sentAt > -Infinity ? { ranMs: Math.round(at - sentAt) } : {}),
        })),
        ...(clearedAt > -Infinity ? { clearedAgeMs: Math.round(now - clearedAt) } : {}),
      }));
  }

  private verdictOn(
    key: string,
    maySendTrial: (key: string) => boolean,
    now: number,
  ): CrashVerdict | undefined {
    const suspect = this.suspects.get(key);
    if (!suspect || !this.isRefused(key, suspect)) return undefined;
    const deaths = countSeparate(key, suspect);
    const lastDeathAt = lastDeathOf(suspect);
    const retryAfterMs = lastDeathAt + trialDelayMs(key, deaths - MAX_DEATHS) - now;
    const trialDue = retryAfterMs <= 0 && now - suspect.triedAt > TRIAL_MS;
    if (trialDue && maySendTrial(key)) return undefined;
    return {
      key,
      deaths,
      lastDeathAgeMs: now - lastDeathAt,
      retryAfterMs: Math.max(TRIAL_MS, retryAfterMs),
    };
  }

  private isRefused(key: string, suspect: Suspect): boolean {
    const requests = new Set(suspect.deaths.map(({ request }) => request));
    if (isSegmentKey(key) && requests.size < MIN_REQUESTS) return false;
    const maxDeaths = this.wasGood(key, suspect) ? MAX_DEATHS_KNOWN_GOOD : MAX_DEATHS;
    return countSeparate(key, suspect) >= maxDeaths;
  }

  private wasGood(key: string, suspect: Suspect): boolean {
    const answeredAt = this.answeredAt.get(key) ?? suspect.clearedAt;
    return lastDeathOf(suspect) - answeredAt < KNOWN_GOOD_LIFETIME_MS;
  }

  private addDeaths(key: string, deaths: readonly SuspectDeath[], now: number): void {
    const suspect = this.suspects.get(key) ?? {
      deaths: [],
      clearedAt: -Infinity,
      triedAt: -Infinity,
    };
    const added = deaths
      .map(({ target, request, ageMs, ranMs = Infinity }) => ({
        target,
        request,
        at: now - ageMs,
        sentAt: now - ageMs - ranMs,
      }))
      .filter((death) => death.at > suspect.clearedAt && !isKnown(death, suspect.deaths));
    suspect.deaths = withoutSurplus(
      key,
      [...suspect.deaths, ...added].sort((a, b) => a.at - b.at || a.target - b.target),
    );
    if (suspect.deaths.length === 0) return;
    this.suspects.delete(key);
    this.suspects.set(key, suspect);
    if (this.suspects.size > MAX_SUSPECTS) this.evictOne();
  }

  /** Drops the oldest suspect; a refused key only if there is no other, as it gets no new deaths. */
  private evictOne(): void {
    const evictable = [...this.suspects].find(([key, suspect]) => !this.isRefused(key, suspect));
    const [oldest] = this.suspects.keys();
    const evicted = evictable?.[0] ?? oldest;
    if (evicted !== undefined) this.suspects.delete(evicted);
  }

  /** Returns whether any death of the key was before that time. */
  private clear(key: string, at: number): boolean {
    const suspect = this.suspects.get(key);
    if (!suspect || at <= suspect.clearedAt) return false;
    suspect.clearedAt = at;
    const { deaths } = suspect;
    suspect.deaths = deaths.filter((death) => death.at > at);
    return suspect.deaths.length < deaths.length;
  }

  private rememberAnswer(key: string, at: number): void {
    this.answeredAt.delete(key);
    this.answeredAt.set(key, at);
    const [oldest] = this.answeredAt.keys();
    if (this.answeredAt.size > MAX_KNOWN_GOOD && oldest !== undefined) {
      this.answeredAt.delete(oldest);
    }
  }

  private expire(now: number): void {
    [...this.suspects]
      .filter(([key, suspect]) => {
        const refused = this.isRefused(key, suspect);
        const lifetimeMs = refused ? REFUSED_LIFETIME_MS : SUSPECT_LIFETIME_MS;
        return now - lastEventOf(suspect) > lifetimeMs;
      })
      .forEach(([key]) => this.suspects.delete(key));
  }
}

/** Time from the last death to the next trial, ms. */
function trialDelayMs(key: string, trials: number): number {
  if (!isSegmentKey(key) && trials >= MAX_REQUEST_TRIALS) return REFUSED_LIFETIME_MS;
  return Math.min(MAX_TRIAL_DELAY_MS, MIN_TRIAL_DELAY_MS * 2 ** trials);
}

/** Whether the death is one of those known, which another gateway may have noticed at another time. */
function isKnown(death: Death, known: readonly Death[]): boolean {
  return known.some(
    ({ target, at }) => target === death.target && Math.abs(at - death.at) < SAME_DEATH_MS,
  );
}

/** Number of deaths that count. */
function countSeparate(key: string, { deaths }: Suspect): number {
  return separateDeaths(key, deaths).length;
}

/** Deaths that count, oldest first; of those with one cause, as far as that is known, only the first. */
function separateDeaths(key: string, deaths: readonly Death[]): Death[] {
  return deaths.reduce<Death[]>((counted, death) => {
    const last = counted.at(-1);
    return last && !isSeparate(key, death, last) ? counted : [...counted, death];
  }, []);
}

function isSeparate(key: string, death: Death, last: Death): boolean {
  if (death.at - last.at > SAME_CAUSE_MS) return true;
  // A request that was sent after the target before had died is not lost for the same cause.
  return !isSegmentKey(key) && death.sentAt >= last.at - ORDER_ACCURACY_MS;
}

/** Drops deaths that do not count first, so that more evidence never lowers the count below the limit. */
function withoutSurplus(key: string, deaths: readonly Death[]): readonly Death[] {
  if (deaths.length <= MAX_DEATHS_KEPT) return deaths;
  const separate = separateDeaths(key, deaths);
  const others = deaths.filter((death) => !separate.includes(death));
  const dropped = new Set([...others, ...separate].slice(0, deaths.length - MAX_DEATHS_KEPT));
  return deaths.filter((death) => !dropped.has(death));
}

function lastDeathOf({ deaths }: Suspect): number {
  return deaths.at(-1)?.at ?? -Infinity;
}

function lastEventOf(suspect: Suspect): number {
  return Math.max(lastDeathOf(suspect), suspect.clearedAt);
}
