/**
 * Decides whether a gateway may send one more request to a target that names a rejection limit.
 *
 * Each gateway has a fixed share of the slots, which it may fill without knowing what the others do.
 * Slots beyond it that seem free may be used too, but another gateway may take them at the same moment,
 * so only as many of them as the target may reject. Rejections are told to all gateways of the region,
 * which hold back together.
 */
/** Which places of a target a request may use. */
export const Room = {
  /** Within the gateway's share of the slots. */
  Own: 'own',
  /** Beyond it, in a slot that seems free. */
  Spare: 'spare',
  None: 'none',
} as const;
export type Room = (typeof Room)[keyof typeof Room];

export interface RoomView {
  readonly slots: number;
  /** Requests of this gateway at the target, and those of all gateways as far as known. */
  readonly ownRequests: number;
  readonly allRequests: number;
  /** Slots that this gateway may always use. */
  readonly slotShare: number;
  /** Slots beyond its share that it may use if they seem free. */
  readonly spareShare: number;
  /** Rejections per second that the target bears. */
  readonly rejectionsPerS: number;
  /** Rejections to all gateways within the window, as far as known. */
  readonly rejections: number;
}

/** Longer than the second in which a target counts, since news of rejections is late. */
const WINDOW_MS = 1300;
/** Part of the limit that is left to requests which are under way when a rejection becomes known. */
const RESERVED_SHARE = 0.5;
const MAX_COUNTED = 32;
/** Number of targets above which those without recent rejections are forgotten. */
const MAX_IDLE_TARGETS = 1024;

/**
 * Slots that all gateways together may use beyond their shares. If all of these are rejected, the
 * gateways may still use their own.
 *
 * @example spareSlots(5) // 2
 */
export function spareSlots(rejectionsPerS: number): number {
  return maxRejections(rejectionsPerS) - 1;
}

/** Rejections within the window at which all gateways stop sending. */
function maxRejections(rejectionsPerS: number): number {
  return Math.min(MAX_COUNTED, Math.max(1, Math.ceil(rejectionsPerS * RESERVED_SHARE)));
}

/** @example roomFor({ slots: 8, ownRequests: 1, slotShare: 2, rejections: 0, ... }) // 'own' */
export function roomFor(view: RoomView): Room {
  const { ownRequests, slotShare, rejections } = view;
  if (rejections >= maxRejections(view.rejectionsPerS)) return Room.None;
  if (ownRequests < slotShare) return Room.Own;
  const seemsFree = rejections === 0 && view.allRequests < view.slots;
  return seemsFree && ownRequests < slotShare + view.spareShare ? Room.Spare : Room.None;
}

/** Counts the requests that targets rejected, from this gateway and, as told, from others. */
export class RejectionCounter {
  private readonly rejectedAt = new Map<string, readonly number[]>();

  /** @param now monotonic ms, as in all methods */
  onRejected(target: string, now: number): void {
    const recent = [...this.recent(target, now), now];
    this.rejectedAt.set(target, recent.slice(-MAX_COUNTED));
    if (this.rejectedAt.size > MAX_IDLE_TARGETS) this.forgetIdle(now);
  }

  /** Rejections within the window. */
  count(target: string, now: number): number {
    return this.recent(target, now).length;
  }

  private recent(target: string, now: number): readonly number[] {
    return (this.rejectedAt.get(target) ?? []).filter((at) => now - at < WINDOW_MS);
  }

  private forgetIdle(now: number): void {
    [...this.rejectedAt.keys()]
      .filter((target) => this.recent(target, now).length === 0)
      .forEach((target) => this.rejectedAt.delete(target));
  }
}
