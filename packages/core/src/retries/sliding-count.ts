/** Number of events in the last span of time, kept in a few buckets. */

const BUCKETS = 20;

export class SlidingWindowCounter {
  private readonly counts = new Array<number>(BUCKETS + 1).fill(0);

  private current = 0;

  private readonly bucketMs: number;

  constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKETS;
  }

  add(now: number): void {
    this.advance(now);
    const slot = this.current % this.counts.length;
    this.counts[slot] = (this.counts[slot] ?? 0) + 1;
  }

  /** Events in the window that ends at `now`, monotonic ms; at most one bucket too many. */
  count(now: number): number {
    this.advance(now);
    return this.counts.reduce((sum, count) => sum + count, 0);
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const passed = Math.min(bucket - this.current, this.counts.length);
    Array.from({ length: Math.max(0, passed) }, (_, step) => bucket - step).forEach(
      (passedBucket) => {
        this.counts[passedBucket % this.counts.length] = 0;
      },
    );
    this.current = Math.max(bucket, this.current);
  }
}
