/** Fetches the newest version of something large from one of the peers that hold it. */
import type { ChangeSource } from '../control-state.js';

interface Holder {
  readonly version: number;
  readonly source: ChangeSource;
}

export interface NewestVersionFetcherOptions {
  /** Version held by this process. */
  readonly currentVersion: () => number;
  readonly fetch: (address: string, source: ChangeSource) => Promise<void>;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** A fetch that takes longer than this does not keep another holder from being asked. */
const HEDGE_AFTER_MS = 500;

/**
 * Asks one holder at a time: a whole configuration is over 1 MB, and all peers offer it at once
 * when a daemon starts or a change spreads.
 */
export class NewestVersionFetcher {
  private readonly holders = new Map<string, Holder>();

  private readonly running = new Set<Promise<void>>();

  private startedAt = -Infinity;

  constructor(private readonly options: NewestVersionFetcherOptions) {}

  /** Notes that a peer holds a version, and fetches it if it is newer than what is held. */
  offer(address: string, version: number, source: ChangeSource): void {
    const { currentVersion: held, now } = this.options;
    if (version <= held()) return;
    this.holders.set(address, { version, source });
    if (this.running.size > 0 && now() - this.startedAt < HEDGE_AFTER_MS) return;
    const run = this.run().finally(() => this.running.delete(run));
    this.running.add(run);
  }

  /** Resolves when no fetch is under way. */
  async settled(): Promise<void> {
    await Promise.allSettled([...this.running]);
  }

  private async run(): Promise<void> {
    const next = this.next();
    if (!next) return;
    const [address, { source }] = next;
    this.holders.delete(address);
    this.startedAt = this.options.now();
    await this.options.fetch(address, source);
    await this.run();
  }

  /** The holder of the highest version; those of versions that are held by now are forgotten. */
  private next(): [string, Holder] | undefined {
    const held = this.options.currentVersion();
    [...this.holders]
      .filter(([, { version }]) => version <= held)
      .forEach(([address]) => this.holders.delete(address));
    return [...this.holders].sort(([, a], [, b]) => b.version - a.version)[0];
  }
}
