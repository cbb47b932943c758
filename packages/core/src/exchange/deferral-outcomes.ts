/**
 * Learns whether deferred requests get a response at all. They are served after all others, so in a
 * lasting overload they wait until their callers leave, and are better refused at once.
 */

/** Weight of one outcome. */
const OUTCOME_WEIGHT = 0.25;
/** Below this share of successful ones, requests are no longer deferred. */
const MIN_SUCCESS_SHARE = 0.5;
/** The share returns half the way to 1 in this time, so that requests are deferred again. */
const RECOVERY_HALF_LIFE_MS = 4000;

interface Outcomes {
  readonly share: number;
  readonly at: number;
}

export class DeferralOutcomes {
  private readonly known = new Map<string, Outcomes>();

  /** Notes whether a deferred request got its first byte before its caller left. */
  onOutcome(service: string, succeeded: boolean, now: number): void {
    const before = this.shareOf(service, now);
    const share = before + ((succeeded ? 1 : 0) - before) * OUTCOME_WEIGHT;
    this.known.set(service, { share, at: now });
  }

  /**
   * Whether deferring requests of a service is worth while.
   *
   * @example if (outcomes.mayDefer('answers', timers.now())) defer();
   */
  mayDefer(service: string, now: number): boolean {
    return this.shareOf(service, now) >= MIN_SUCCESS_SHARE;
  }

  private shareOf(service: string, now: number): number {
    const known = this.known.get(service);
    if (!known) return 1;
    return 1 - (1 - known.share) * 0.5 ** ((now - known.at) / RECOVERY_HALF_LIFE_MS);
  }
}
