/**
 * Shares of one gateway in the rates of targets. A share depends on the names of all gateways of the
 * region, and is needed for each target and request, so it is kept until the roster changes.
 */
import type { GatewayRoster } from '../membership/gateway-roster.js';
import { shareOf, type SharedRate } from './shared-rate.js';

interface KnownShare {
  readonly requests: number;
  readonly share: number;
}

const MAX_TARGETS = 4096;

export class RateShares {
  private readonly known = new Map<string, KnownShare>();

  private rosterVersion: number | undefined;

  /** @example new RateShares('vm-1', gossip.roster, { spareGateways: 1 }) */
  constructor(
    private readonly self: string,
    private readonly roster: Pick<GatewayRoster, 'names' | 'version'>,
    private readonly rule: Pick<SharedRate, 'spareGateways' | 'dividesRest' | 'assignedShare'>,
  ) {}

  /**
   * Requests of this gateway within the window of a rate.
   *
   * @param requests that the target allows within the window, from all gateways together
   * @example shares.of('i-7', 12) // 3
   */
  of(target: string, requests: number): number {
    if (this.rosterVersion !== this.roster.version || this.known.size >= MAX_TARGETS) {
      this.known.clear();
      this.rosterVersion = this.roster.version;
    }
    const known = this.known.get(target);
    if (known?.requests === requests) return known.share;
    const gateways = this.roster.names;
    const share = shareOf(target, this.self, { ...this.rule, requests, gateways });
    this.known.set(target, { requests, share });
    return share;
  }
}
