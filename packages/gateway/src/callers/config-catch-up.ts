/** Holds requests for a moment that need a newer configuration than the one in force. */
import type { TimerService, Unsubscribe } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';

/** The newer configuration usually arrives by itself within this time. */
const OWN_READ_MS = 150;
/** Time for fetching it from the gateway that has it. */
const FETCH_MS = 450;

export interface ConfigCatchUpDeps {
  readonly state: GatewayState;
  readonly timers: TimerService;
  /** Fetches the state from a gateway that has a newer configuration. */
  readonly fetchFrom: (node: string) => void;
}

export class ConfigCatchUp {
  constructor(private readonly deps: ConfigCatchUpDeps) {}

  /**
   * Waits until a configuration is in force that is at least as new as a version.
   *
   * @param node gateway that has this version in force
   * @returns whether one is in force now
   */
  async reach(version: number, node: string): Promise<boolean> {
    const { state, fetchFrom } = this.deps;
    if (this.isInForce(version)) return true;
    state.onPeerConfig(node, version);
    if (await this.waitFor(version, OWN_READ_MS)) return true;
    fetchFrom(node);
    return this.waitFor(version, FETCH_MS);
  }

  /** Waits for the newest configuration that this gateway has heard of, which is being read or fetched. */
  async reachNewest(): Promise<boolean> {
    return this.waitFor(this.deps.state.newestConfigVersion, OWN_READ_MS + FETCH_MS);
  }

  private isInForce(version: number): boolean {
    return (this.deps.state.config?.version ?? 0) >= version;
  }

  private async waitFor(version: number, maxMs: number): Promise<boolean> {
    if (this.isInForce(version)) return true;
    if (maxMs <= 0) return false;
    const { timers } = this.deps;
    const startedAt = timers.now();
    await this.nextConfig(maxMs);
    return this.waitFor(version, maxMs - (timers.now() - startedAt));
  }

  /** Waits until the next configuration is in force, at most for `maxMs`. */
  private nextConfig(maxMs: number): Promise<void> {
    const { state, timers } = this.deps;
    return new Promise((resolve) => {
      const subscriptions: Unsubscribe[] = [];
      const finish = (): void => {
        subscriptions.forEach((unsubscribe) => unsubscribe());
        resolve();
      };
      subscriptions.push(state.onNextConfig(finish), timers.after(maxMs, finish));
    });
  }
}
