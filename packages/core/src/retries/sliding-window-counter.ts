/** Counts events in time buckets of equal length, and keeps the counts of the latest buckets. */

export class SlidingWindowCounter {
  private readonly counts: number[];

  private current = 0;

  /**
   * @param bucketMs length of a bucket
   * @param kept number of buckets that are kept, with the current one
   */
  constructor(
    private readonly bucketMs: number,
    kept: number,
  ) {
    this.counts = new Array<number>(kept).fill(0);
  }

  add(now: number): void {
    this.advance(now);
    const slot = this.current % this.counts.length;
    this.counts[slot] = (this.counts[slot] ?? 0) + 1;
  }

  /**
   * Events in the latest buckets: element `n` is the sum of the current bucket and of the `n - 1`
   * before it. `now` is monotonic ms.
   *
   * @example counter.sums(timers.now())[20] // events in the latest 20 buckets
   */
  sums(now: number): readonly number[] {
    this.advance(now);
    const kept = this.counts.length;
    const sums = [0];
    this.counts.forEach((_, age) => {
      const slot = (((this.current - age) % kept) + kept) % kept;
      sums.push((sums[age] ?? 0) + (this.counts[slot] ?? 0));
    });
    return sums;
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
