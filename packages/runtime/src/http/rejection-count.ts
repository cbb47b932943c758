/** Counts rejections and reports them at most once a second, so that a crowd does not fill the log. */

const REPORT_INTERVAL_MS = 1000;

export class RejectionCount {
  private count = 0;

  /** @example new RejectionCount((count) => log.warn('connections closed', { count })) */
  constructor(private readonly report: (count: number) => void) {}

  add(): void {
    this.count += 1;
    if (this.count > 1) return;
    setTimeout(() => {
      const { count } = this;
      this.count = 0;
      this.report(count);
    }, REPORT_INTERVAL_MS).unref();
  }
}
