/**
 * Evacuated failure domains. When the platform comes back from an older copy, an evacuation that the
 * copy lacks stays in force until it can be expected to be written again.
 */

/** Time within which the operator writes again what the copy lacks. */
const WRITTEN_AGAIN_MS = 6000;

export class EvacuatedDomains {
  private listedDomains: ReadonlySet<string> = new Set();

  /** Until when a domain that was evacuated before the copy stays so, contact time. */
  private readonly kept = new Map<string, number>();

  private domains: ReadonlySet<string> = new Set();

  /** The domains that the platform lists as evacuated. */
  get listed(): ReadonlySet<string> {
    return this.listedDomains;
  }

  /** The domains whose targets receive no requests. */
  get inForce(): ReadonlySet<string> {
    return this.domains;
  }

  /**
   * Keeps the evacuations in force until they are written again, at most for a while.
   *
   * @param now contact time (`ContactClock`), as in all methods
   */
  keep(now: number): void {
    this.domains.forEach((domain) => this.kept.set(domain, now + WRITTEN_AGAIN_MS));
  }

  /**
   * Applies what the platform lists.
   *
   * @example domains.list(new Set(['north-a']), clock.now)
   */
  list(listed: ReadonlySet<string>, now: number): void {
    this.listedDomains = listed;
    // Once listed again, its end is news.
    listed.forEach((domain) => this.kept.delete(domain));
    this.expire(now);
  }

  /** Ends evacuations that were not written again in time. */
  expire(now: number): void {
    [...this.kept]
      .filter(([, until]) => now >= until)
      .forEach(([domain]) => this.kept.delete(domain));
    this.domains = new Set([...this.listedDomains, ...this.kept.keys()]);
  }
}
