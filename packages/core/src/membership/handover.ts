/**
 * Decides which of the gateways of a region that leave at about the same time goes first. The last
 * one accepts requests for longer, while the first one restarts.
 */
import { GatewayPhase } from './gateway-table.js';

/** Another gateway of the region, as the leaving one knows it. */
export interface RegionGateway {
  readonly node: string;
  readonly phase: GatewayPhase;
  /** When it became known that it leaves, monotonic ms; undefined if it is not known to leave. */
  readonly leavingAt: number | undefined;
}

/** Two gateways that start to leave within this time may not know of each other. */
const SIMULTANEOUS_MS = 300;

/**
 * Whether a leaving gateway can hand its callers over to another one of its region: to a ready one, or
 * to one that started to leave later and stays for longer.
 *
 * @param leavingAt when the gateway `self` started to leave, monotonic ms
 * @example canHandOver('vm-1', 1000, others) // false for the last gateway of a region
 */
export function canHandOver(
  self: string,
  leavingAt: number,
  others: readonly RegionGateway[],
): boolean {
  return others.some((other) => {
    if (other.phase === GatewayPhase.Ready) return true;
    if (other.phase !== GatewayPhase.Draining || other.leavingAt === undefined) return false;
    const laterMs = other.leavingAt - leavingAt;
    return Math.abs(laterMs) < SIMULTANEOUS_MS ? other.node > self : laterMs > 0;
  });
}
