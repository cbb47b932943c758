/**
 * Gateways that share the rates of targets: those of the roster, without the ones that are known to reach
 * no target. The share of a gateway that is cut off would be left unused, which is most of a rate when few
 * gateways of a region are sound.
 */
import type { GatewayRoster } from '../membership/gateway-roster.js';
import type { GatewayTable } from '../membership/gateway-table.js';

/**
 * Time after which one that is cut off no longer shares. What it has sent before counts at the target for
 * the window of a rate.
 */
const LEAVE_AFTER_MS = 4300;
/** Time in which all gateways of a region learn that one reaches its targets again. */
const REJOIN_MS = 3000;
const REFRESH_MS = 200;

/** Whether a gateway reaches its targets, by its own probes; monotonic ms. */
export interface OwnReach {
  readonly isCutOff: boolean;
  /** End of the last cut, and how long it lasted; undefined if there was none. */
  readonly lastCut?: { readonly endedAt: number; readonly durationMs: number } | undefined;
}

export interface RateSharersDeps {
  readonly roster: Pick<GatewayRoster, 'names' | 'version' | 'isComplete'>;
  readonly table: Pick<GatewayTable, 'cutOffForMs'>;
  readonly reach: () => OwnReach;
  /** Monotonic clock, ms. */
  readonly now: () => number;
}

export class RateSharers {
  private cached: readonly string[] = [];

  private changes = 0;

  private rosterVersion: number | undefined;

  private refreshedAt = -Infinity;

  /** @example new RateSharers({ roster, table, reach: () => reach, now: () => timers.now() }) */
  constructor(private readonly deps: RateSharersDeps) {}

  /** Names of the gateways, this one included. */
  get names(): readonly string[] {
    this.refresh();
    return this.cached;
  }

  /** Another number after each change of the names. */
  get version(): number {
    this.refresh();
    return this.changes;
  }

  get size(): number {
    return this.names.length;
  }

  /**
   * Whether this gateway may use its share: others divide by the same names. One that was cut off waits until
   * those that had left it out count it again.
   */
  mayUseShare(): boolean {
    const { roster, reach, now } = this.deps;
    if (!roster.isComplete(now())) return false;
    const { isCutOff, lastCut } = reach();
    if (isCutOff) return false;
    const wasLeftOut = lastCut !== undefined && lastCut.durationMs >= LEAVE_AFTER_MS - REJOIN_MS;
    return !wasLeftOut || now() - lastCut.endedAt >= REJOIN_MS;
  }

  private refresh(): void {
    const { roster, table, now } = this.deps;
    const at = now();
    if (this.rosterVersion === roster.version && at - this.refreshedAt < REFRESH_MS) return;
    this.rosterVersion = roster.version;
    this.refreshedAt = at;
    const names = roster.names.filter((node) => table.cutOffForMs(node, at) < LEAVE_AFTER_MS);
    const isSame =
      names.length === this.cached.length && names.every((node, n) => node === this.cached[n]);
    if (isSame) return;
    this.cached = names;
    this.changes += 1;
  }
}
