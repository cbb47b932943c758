/** Fetches the newest version of a large object from one of the peers that have it. */
import type { ChangeSource } from '../control-state.js';

interface PeerVersion {
  readonly version: number;
  readonly source: ChangeSource;
}

export interface NewestVersionFetcherOptions {
  /** Version that this process has. */
  readonly currentVersion: () => number;
  readonly fetch: (address: string, source: ChangeSource) => Promise<void>;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** After this time a pending fetch no longer prevents a second fetch from another peer. */
const HEDGE_AFTER_MS = 500;

/**
 * Fetches from one peer at a time: a whole configuration is over 1 MB, and all peers offer it at
 * once when a daemon starts or a change spreads.
 */
export class NewestVersionFetcher {
  private readonly peerVersions = new Map<string, PeerVersion>();

  private readonly running = new Set<Promise<void>>();

  private startedAt = -Infinity;

  constructor(private readonly options: NewestVersionFetcherOptions) {}

  /** Records the version that a peer has and fetches it if it is newer than the current one. */
  offer(address: string, version: number, source: ChangeSource): void {
    const { currentVersion, now } = this.options;
    if (version <= currentVersion()) return;
    this.peerVersions.set(address, { version, source });
    if (this.running.size > 0 && now() - this.startedAt < HEDGE_AFTER_MS) return;
    const pendingFetch = this.fetchUntilCurrent().finally(() => this.running.delete(pendingFetch));
    this.running.add(pendingFetch);
  }

  /** Resolves when the fetches that are now running have ended. */
  async settled(): Promise<void> {
    await Promise.allSettled([...this.running]);
  }

  private async fetchUntilCurrent(): Promise<void> {
    const next = this.next();
    if (!next) return;
    const [address, { source }] = next;
    this.peerVersions.delete(address);
    this.startedAt = this.options.now();
    await this.options.fetch(address, source);
    await this.fetchUntilCurrent();
  }

  /** The peer with the highest version; removes peers without a version newer than the current one. */
  private next(): [string, PeerVersion] | undefined {
    const current = this.options.currentVersion();
    [...this.peerVersions]
      .filter(([, { version }]) => version <= current)
      .forEach(([address]) => this.peerVersions.delete(address));
    return [...this.peerVersions].sort(([, a], [, b]) => b.version - a.version)[0];
  }
}
