/** Bytes in one direction between two places: delay, shared rate and cuts. */
import { EventEmitter } from 'node:events';

/** Faults of one direction. */
export interface FlowSettings {
  delay_ms: number;
  /** Bytes a second that all connections share; 0 is without limit. */
  rate_bytes_per_s: number;
  /** A cut direction holds its bytes until it is whole again, as lost packets are sent again. */
  cut: boolean;
}

/** A direction as its control port shows it. */
export interface FlowState extends FlowSettings {
  /** Bytes passed on since the start. */
  readonly bytes: number;
}

export class Flow {
  readonly settings: FlowSettings = { delay_ms: 0, rate_bytes_per_s: 0, cut: false };

  /** Bytes passed on since the start. */
  bytes = 0;

  private rateFreeAt = 0;

  private readonly changes = new EventEmitter().setMaxListeners(0);

  change(settings: Partial<FlowSettings>): void {
    Object.assign(this.settings, settings);
    this.changes.emit('change');
  }

  /** Resolves when `size` bytes that arrive now have passed. */
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
