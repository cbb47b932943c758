/**
 * Requests that targets died of. After a first death a request is a suspect and is run alone; after
 * a second it is refused until its record expires.
 */
import type { SuspectRecord } from '../messages/messages.js';

export const SUSPECT_LIFETIME_MS = 600_000;
const DEATHS_TO_REFUSE = 2;

/** The request as the table knows it. */
export interface SuspectIdentity {
  /** SHA-256 over customer, service and body. */
  readonly digest: string;
  readonly customer: string;
  readonly service: string;
}

export const SuspicionLevel = { None: 'none', Suspect: 'suspect', Refused: 'refused' } as const;
export type SuspicionLevel = (typeof SuspicionLevel)[keyof typeof SuspicionLevel];

interface Suspicion extends SuspectIdentity {
  deaths: number;
  expiresAt: number;
  /** Whether this process saw a death itself; only such records are reported. */
  own: boolean;
}

export class SuspectTable {
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly maxRecords = 10_000) {}

  /** Counts a target that died while running the request. `now` is monotonic ms. */
  onDeath(identity: SuspectIdentity, now: number): SuspicionLevel {
    const known = this.live(identity.digest, now);
    const deaths = (known?.deaths ?? 0) + 1;
    this.put({ ...identity, deaths, expiresAt: now + SUSPECT_LIFETIME_MS, own: true });
    return levelOf(deaths);
  }

  /** Clears a suspect that ran to its end; a refused request stays refused. */
  onCompleted(digest: string, now: number): void {
    const known = this.live(digest, now);
    if (known && known.deaths < DEATHS_TO_REFUSE) this.suspicions.delete(digest);
  }

  level(digest: string, now: number): SuspicionLevel {
    return levelOf(this.live(digest, now)?.deaths ?? 0);
  }

  /** Takes over refusals that other processes found; first deaths elsewhere are suspects here. */
  merge(records: readonly SuspectRecord[], now: number): void {
    records.forEach((record) => {
      const known = this.live(record.digest, now);
      const deaths = record.refused ? Math.max(record.deaths, DEATHS_TO_REFUSE) : record.deaths;
      if (known && known.deaths >= deaths) return;
      this.put({
        digest: record.digest,
        customer: record.customer,
        service: record.service,
        deaths,
        expiresAt: now + Math.min(record.expiresInMs, SUSPECT_LIFETIME_MS),
        own: known?.own ?? false,
      });
    });
  }

  /** Records that this process found, for the control daemon. */
  localRecords(now: number): SuspectRecord[] {
    this.expire(now);
    return [...this.suspicions.values()]
      .filter(({ own }) => own)
      .map(({ digest, customer, service, deaths, expiresAt }) => ({
        digest,
        customer,
        service,
        deaths,
        refused: deaths >= DEATHS_TO_REFUSE,
        expiresInMs: Math.round(expiresAt - now),
      }));
  }

  get size(): number {
    return this.suspicions.size;
  }

  expire(now: number): void {
    [...this.suspicions.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .forEach(({ digest }) => this.suspicions.delete(digest));
  }

  private live(digest: string, now: number): Suspicion | undefined {
    const known = this.suspicions.get(digest);
    return known && known.expiresAt > now ? known : undefined;
  }

  private put(suspicion: Suspicion): void {
    this.suspicions.delete(suspicion.digest);
    this.suspicions.set(suspicion.digest, suspicion);
    const [oldest] = this.suspicions.keys();
    if (this.suspicions.size > this.maxRecords && oldest !== undefined) {
      this.suspicions.delete(oldest);
    }
  }
}

function levelOf(deaths: number): SuspicionLevel {
  if (deaths >= DEATHS_TO_REFUSE) return SuspicionLevel.Refused;
  return deaths > 0 ? SuspicionLevel.Suspect : SuspicionLevel.None;
}
