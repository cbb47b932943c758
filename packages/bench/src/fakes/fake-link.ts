/** One direction of a link between two regions: delay, rate and cuts. */
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

  /** Delivers after the queue, the transfer and the delay; calls `onCut` when the link is cut. */
  send(bytes: number, deliver: () => void, onCut: () => void): void {
    this.bytes += bytes;
    const { now } = this.clock;
    this.freeAt = Math.max(now, this.freeAt) + transferMs(bytes, this.mbitPerS);
    this.clock.after(this.freeAt - now + this.oneWayMs, () => (this.up ? deliver() : onCut()));
  }
}
