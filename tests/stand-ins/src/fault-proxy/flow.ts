/** One direction of traffic between two endpoints, with a delay, a rate limit and cuts. */
import { EventEmitter } from 'node:events';

/** Faults of one direction of traffic. */
export interface FlowSettings {
  delay_ms: number;
  /** Rate limit that all connections share, bytes per second; 0 means unlimited. */
  rate_bytes_per_s: number;
  /** Buffers all bytes until the cut ends; none are lost, because TCP retransmits lost packets. */
  cut: boolean;
}

/** Flow as the control port of the proxy returns it. */
export interface FlowState extends FlowSettings {
  /** Bytes forwarded since the start. */
  readonly bytes: number;
}

export class Flow {
  readonly settings: FlowSettings = { delay_ms: 0, rate_bytes_per_s: 0, cut: false };

  /** Bytes forwarded since the start. */
  bytes = 0;

  /** Time from which the rate limit allows the next bytes, in ms of `performance.now()`. */
  private rateFreeAt = 0;

  private readonly changes = new EventEmitter().setMaxListeners(0);

  change(settings: Partial<FlowSettings>): void {
    Object.assign(this.settings, settings);
    this.changes.emit('change');
  }

  /** Resolves when `size` bytes that arrive now may be forwarded. */
  async transmit(size: number): Promise<void> {
    const now = performance.now();
    const rate = this.settings.rate_bytes_per_s;
    const start = Math.max(now, this.rateFreeAt);
    this.rateFreeAt = rate > 0 ? start + (size / rate) * 1000 : now;
    const waitMs = Math.max(0, this.rateFreeAt - now) + this.settings.delay_ms;
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    await this.waitWhileCut();
    this.bytes += size;
  }

  private waitWhileCut(): Promise<void> {
    if (!this.settings.cut) return Promise.resolve();
    return new Promise((resolve) => {
      const check = (): void => {
        if (this.settings.cut) return;
        this.changes.off('change', check);
        resolve();
      };
      this.changes.on('change', check);
    });
  }
}
