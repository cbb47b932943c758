/** Simulates one direction of a link between two regions: delay, bandwidth and outages. */
import { transferMs } from '@marjoramcart/core';
import type { VirtualClock } from './virtual-clock.js';

export class FakeLink {
  up = true;

  bytes = 0;

  private freeAt = 0;

  constructor(
    private readonly clock: VirtualClock,
    readonly oneWayMs: number,
    readonly mbitPerS: number,
  ) {}

  /**
   * Calls `deliver` after queueing, transfer and propagation delay, or `onCut` if the link is down
   * by then.
   */
  send(bytes: number, deliver: () => void, onCut: () => void): void {
    this.bytes += bytes;
    const { now } = this.clock;
    this.freeAt = Math.max(now, this.freeAt) + transferMs(bytes, this.mbitPerS);
    this.clock.after(this.freeAt - now + this.oneWayMs, () => (this.up ? deliver() : onCut()));
  }
}
