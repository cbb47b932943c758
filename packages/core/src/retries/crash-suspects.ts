/**
 * Finds prompt segments and whole requests that crash targets, both identified by keys. Every request
 * whose answer was not complete when a target died is a witness against its keys; a request that is
 * answered to its end clears them. A key is refused after several deaths without an answer in between.
 * Deaths that a refused key explains do not count against keys that merely were there. All gateways
 * exchange what they saw, as one of them rarely sees enough.
 */
import { hashOf } from '../rendezvous.js';

/** What one process knows about a key; times are relative, so that clocks need not agree. */
export interface SuspectRow {
  /** Id of a segment, or the key of a request that `requestKey` returns. */
  readonly key: string;
  /** Deaths since the key was last cleared. */
  readonly deaths: readonly SuspectDeath[];
  /** Time since a request with the key was answered to its end; absent if none was since the first death. */
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
  /** Time from the first byte of its answer to the death; absent if there was none. */
  readonly wroteMs?: number;
}

type DeathTimes = Pick<SuspectDeath, 'ageMs' | 'ranMs' | 'wroteMs'>;

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
  /** For how long the target had been writing the answer, the shortest of all requests, ms. */
  readonly wroteMs: number;
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
/** The same for a segment that nearly all requests have, so that it is at each target that dies. */
const MAX_DEATHS_COMMON = 7;
/** A key whose requests were answered before is suspected only while answers are shorter than this. */
export const SURVIVAL_MS = 200;
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
const PREFIX_OF_REQUEST_KEY = /^request \S+ \S+ /;

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

  /** Beginnings of the request keys that are tracked; undefined after a change. */
  private prefixes: ReadonlySet<string> | undefined;

  /** Keys that are refused for their own deaths; undefined after a change. */
  private blamed: ReadonlyMap<string, Suspect> | undefined;

  /** @param isCommon whether nearly all requests of its route have a segment */
  constructor(private readonly isCommon: (key: string) => boolean = () => false) {}

  /** Number of keys that are tracked. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether a key is tracked of which `requestKey` asks with this text. */
  hasPrefix(prefix: string): boolean {
    this.prefixes ??= new Set(
      [...this.suspects.keys()].map((key) => PREFIX_OF_REQUEST_KEY.exec(key)?.[0] ?? key),
    );
    return this.prefixes.has(prefix);
  }

  /**
   * Counts the death of a target that had not answered a request to its end yet.
   *
   * @param request identifies the request; the same when it comes again
   * @param keys its segments that it shares with others, and its own key
   * @param now monotonic ms, as in all methods
   * @param times age of the death, and how long the request had been at the target and its answer
   *   had been written, ms
   * @returns rows for the other gateways
   * @example suspects.onDeath('i-1', 'req-7', ['system', 'document'], timers.now())
   */
  onDeath(
    target: string,
    request: string,
    keys: readonly string[],
    now: number,
    times: DeathTimes = { ageMs: 0 },
  ): SuspectRow[] {
    const death = { target: hashOf(target), request: hashOf(request), ...times };
    const rows = keys.map((key) => {
      const answeredAt = this.lastAnswerOf(key, this.suspects.get(key));
      // Another gateway may not know that the key was good.
      const cleared = answeredAt > -Infinity ? { clearedAgeMs: now - answeredAt } : {};
      return { key, deaths: [death], ...cleared };
    });
    this.merge(rows, now);
    return rows;
  }

  /**
   * Clears the keys of a request that was answered.
   *
   * @param answeredAt when the answer was complete; deaths after that still count
   * @returns rows of the keys that were suspects, for the other gateways
   */
  onAnswered(keys: readonly string[], answeredAt: number, now: number): SuspectRow[] {
    keys.forEach((key) => this.rememberAnswer(key, answeredAt));
    return keys
      .filter((key) => this.clear(key, answeredAt))
      .map((key) => ({ key, deaths: [], clearedAgeMs: now - answeredAt }));
  }

  /**
   * Clears those keys of a request whose answer has gone on for `SURVIVAL_MS` that were good before.
   * Others are cleared only by a whole answer, as they may crash their target at any moment.
   *
   * @param firstByteAt when its first byte arrived; deaths after that still count
   * @returns rows of the keys that were suspects, for the other gateways
   */
  onSurvived(keys: readonly string[], firstByteAt: number, now: number): SuspectRow[] {
    return keys
      .filter((key) => this.isKnownGood(key) && this.clear(key, firstByteAt))
      .map((key) => ({ key, deaths: [], clearedAgeMs: now - firstByteAt }));
  }

  private isKnownGood(key: string): boolean {
    const suspect = this.suspects.get(key);
    return suspect !== undefined && this.wasGood(key, suspect);
  }

  /** Adds what another gateway saw. */
  merge(rows: readonly SuspectRow[], now: number): void {
    rows.forEach(({ key, deaths, clearedAgeMs }) => {
      if (deaths.length > 0) this.addDeaths(key, deaths, now);
      if (clearedAgeMs !== undefined) this.clear(key, now - clearedAgeMs);
    });
    if (this.suspects.size > MAX_SUSPECTS) this.evict();
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
      .map(([key, suspect]) => ({ key, suspect, answeredAt: this.lastAnswerOf(key, suspect) }))
      .map(({ key, suspect: { deaths }, answeredAt }) => ({
        key,
        deaths: deaths.map(({ target, request, at, sentAt, wroteMs }) => ({
          target,
          request,
          ageMs: Math.round(now - at),
          ...(sentAt > -Infinity ? { ranMs: Math.round(at - sentAt) } : {}),
          ...(wroteMs > 0 ? { wroteMs: Math.round(wroteMs) } : {}),
        })),
        ...(answeredAt > -Infinity ? { clearedAgeMs: Math.round(now - answeredAt) } : {}),
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
    if (!this.mayBeCause(key, suspect)) return false;
    const explaining = [...this.blamedKeys()]
      .filter(([blamedKey, blamed]) => this.isStronger(blamedKey, blamed, key, suspect))
      .filter(([blamedKey, blamed]) => this.mayBeCause(blamedKey, blamed))
      .flatMap(([, { deaths }]) => deaths);
    const unexplained = suspect.deaths.filter((death) => !isKnown(death, explaining));
    return this.hasEnough(key, suspect, unexplained);
  }

  /** Whether the deaths of a key are enough to refuse it, whatever else may explain them. */
  private mayBeCause(key: string, suspect: Suspect): boolean {
    if (!this.hasEnough(key, suspect, suspect.deaths)) return false;
    return countSeparate(key, suspect) >= MAX_DEATHS_COMMON || !this.isCommon(key);
  }

  /** Whether these deaths are enough to refuse a key. */
  private hasEnough(key: string, suspect: Suspect, deaths: readonly Death[]): boolean {
    const wasGood = this.wasGood(key, suspect);
    // A key that was good is in many answers, which end with any target that dies.
    const counted = wasGood ? deaths.filter(({ wroteMs }) => wroteMs <= SURVIVAL_MS) : deaths;
    const requests = new Set(counted.map(({ request }) => request));
    if (isSegmentKey(key) && requests.size < MIN_REQUESTS) return false;
    const maxDeaths = wasGood ? MAX_DEATHS_KNOWN_GOOD : MAX_DEATHS;
    return separateDeaths(key, counted).length >= maxDeaths;
  }

  /** Keys whose deaths are enough to refuse them if they are not common. */
  private blamedKeys(): ReadonlyMap<string, Suspect> {
    this.blamed ??= new Map(
      [...this.suspects].filter(([key, suspect]) => this.hasEnough(key, suspect, suspect.deaths)),
    );
    return this.blamed;
  }

  /** Whether there is more evidence against a key than against another one. */
  private isStronger(key: string, suspect: Suspect, otherKey: string, other: Suspect): boolean {
    const otherWasGood = this.wasGood(otherKey, other);
    if (this.wasGood(key, suspect) !== otherWasGood) return otherWasGood;
    return countSeparate(key, suspect) > countSeparate(otherKey, other);
  }

  private wasGood(key: string, suspect: Suspect): boolean {
    return lastDeathOf(suspect) - this.lastAnswerOf(key, suspect) < KNOWN_GOOD_LIFETIME_MS;
  }

  private lastAnswerOf(key: string, suspect: Suspect | undefined): number {
    const ownAt = this.answeredAt.get(key) ?? -Infinity;
    return Math.max(ownAt, suspect?.clearedAt ?? -Infinity);
  }

  private addDeaths(key: string, deaths: readonly SuspectDeath[], now: number): void {
    const suspect = this.suspects.get(key) ?? {
      deaths: [],
      clearedAt: -Infinity,
      triedAt: -Infinity,
    };
    const told = deaths
      .map(({ target, request, ageMs, ranMs = Infinity, wroteMs = 0 }) => ({
        target,
        request,
        at: now - ageMs,
        sentAt: now - ageMs - ranMs,
        wroteMs,
      }))
      .filter((death) => death.at > suspect.clearedAt);
    const added = told.filter((death) => !isKnown(death, suspect.deaths));
    const known = suspect.deaths.map((death) => withShortest(death, told));
    suspect.deaths = withoutSurplus(
      key,
      [...known, ...added].sort((a, b) => a.at - b.at || a.target - b.target),
    );
    if (suspect.deaths.length === 0) return;
    this.suspects.delete(key);
    this.suspects.set(key, suspect);
    this.onChange();
  }

  private onChange(): void {
    this.prefixes = undefined;
    this.blamed = undefined;
  }

  /**
   * Drops the suspects with the fewest deaths, the oldest first; a refused key only if there is no other,
   * as it gets no new deaths.
   */
  private evict(): void {
    const weight = ([key, suspect]: readonly [string, Suspect]): number =>
      this.isRefused(key, suspect) ? Infinity : countSeparate(key, suspect);
    [...this.suspects]
      .map((entry) => ({ key: entry[0], weight: weight(entry) }))
      .sort((a, b) => (a.weight === b.weight ? 0 : a.weight - b.weight))
      .slice(0, this.suspects.size - MAX_SUSPECTS)
      .forEach(({ key }) => this.drop(key));
  }

  /** Returns whether any death of the key was before that time. */
  private clear(key: string, at: number): boolean {
    const suspect = this.suspects.get(key);
    if (!suspect || at <= suspect.clearedAt) return false;
    suspect.clearedAt = at;
    const { deaths } = suspect;
    suspect.deaths = deaths.filter((death) => death.at > at);
    this.onChange();
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
      .forEach(([key]) => this.drop(key));
  }

  private drop(key: string): void {
    this.suspects.delete(key);
    this.onChange();
  }
}

/** Time from the last death to the next trial, ms. */
function trialDelayMs(key: string, trials: number): number {
  if (!isSegmentKey(key) && trials >= MAX_REQUEST_TRIALS) return REFUSED_LIFETIME_MS;
  return Math.min(MAX_TRIAL_DELAY_MS, MIN_TRIAL_DELAY_MS * 2 ** trials);
}

/** Whether the death is one of those known, which another gateway may have noticed at another time. */
function isKnown(death: Death, known: readonly Death[]): boolean {
  return known.some((other) => isSameDeath(death, other));
}

function isSameDeath(a: Death, b: Death): boolean {
  return a.target === b.target && Math.abs(a.at - b.at) < SAME_DEATH_MS;
}

/** The death with the shortest time of writing that any gateway saw. */
function withShortest(death: Death, told: readonly Death[]): Death {
  const times = told.filter((other) => isSameDeath(death, other)).map(({ wroteMs }) => wroteMs);
  const wroteMs = Math.min(death.wroteMs, ...times);
  return wroteMs < death.wroteMs ? { ...death, wroteMs } : death;
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
