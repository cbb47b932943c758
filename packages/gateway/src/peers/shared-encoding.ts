/** Compressed JSON of one value, which concurrent and later answers share. */
import { promisify } from 'node:util';
import { gzip } from 'node:zlib';
import type { TimerService, Unsubscribe } from '@marjoramcart/runtime';

/** An encoding that was not used for this time is forgotten, ms. */
export const KEEP_ENCODING_MS = 10_000;

const compress = promisify(gzip);

interface Encoding<Value> {
  readonly value: Value;
  readonly compressed: Promise<Buffer>;
}

/** Holds the encoding of the latest value only. */
export class SharedEncoding<Value extends object> {
  private latest: Encoding<Value> | undefined;

  private stopTimer: Unsubscribe | undefined;

  /** @param toText JSON of a value, which does not change */
  constructor(
    private readonly timers: TimerService,
    private readonly toText: (value: Value) => string,
  ) {}

  /**
   * Member of a gzip stream with the JSON of the value.
   *
   * @throws Error when the value can't be compressed
   * @example const member = await encoding.of(config)
   */
  async of(value: Value): Promise<Buffer> {
    if (this.latest?.value !== value) {
      this.latest = { value, compressed: compress(this.toText(value)) };
    }
    const { compressed } = this.latest;
    this.stopTimer?.();
    this.stopTimer = this.timers.after(KEEP_ENCODING_MS, () => this.forget());
    return compressed.catch((err: unknown) => {
      this.forget();
      throw err;
    });
  }

  /** Forgets the encoding; answers that wait for it still get it. */
  forget(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
    this.latest = undefined;
  }
}
