/** Tells how late the event loop of a process is, and how much processor time the process uses meanwhile. */
import type { Logger } from '../logs/logger.js';
import type { TimerService } from '../timers/timer-service.js';
import type { Metrics } from './metrics.js';

const SAMPLE_INTERVAL_MS = 100;
/** Timers run up to this late in a process that is idle. */
const USUAL_DELAY_MS = 15;
/** The delay of the event loop is the longest one within this time. */
const WINDOW_MS = 1000;
const MIN_LOG_INTERVAL_MS = 1000;
/** Delay from which on it is logged, ms. */
const LATE_MS = 100;
const US_PER_MS = 1000;
const MS_PER_S = 1000;

interface Sample {
  readonly at: number;
  readonly delayMs: number;
}

export interface LoopWatchOptions {
  readonly timers: Pick<TimerService, 'every' | 'now'>;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Further fields of the log line, such as the number of requests in flight. */
  readonly fields?: () => Readonly<Record<string, number>>;
  /** Processor time of the process so far, ms. */
  readonly processorMs?: () => number;
}

/**
 * Measures by how much timers are late, which is how long whatever arrives waits before the process reads
 * it. Logs a line a second while the event loop is late.
 */
export class LoopWatch {
  private samples: readonly Sample[] = [];

  /** Longest delay of the samples within the last second, ms. */
  private longestMs = 0;

  /** Undefined before the start. */
  private sampledAt: number | undefined;

  private loggedAt = -Infinity;

  private processorMsBefore = 0;

  constructor(private readonly options: LoopWatchOptions) {
    const gauge = options.metrics.gauge(
      'loop_delay_seconds',
      'Longest delay of the event loop within the last second.',
    );
    Object.assign(gauge, { collect: () => gauge.set(this.delayMs / MS_PER_S) });
  }

  /** Longest delay within the last second, ms; 0 while it is usual. */
  get delayMs(): number {
    return Math.max(this.longestMs, this.delayAt(this.options.timers.now()));
  }

  /** @example new LoopWatch({ timers, metrics, log }).start() */
  start(): void {
    const { timers, processorMs = usedProcessorMs } = this.options;
    this.sampledAt = timers.now();
    this.processorMsBefore = processorMs();
    timers.every(SAMPLE_INTERVAL_MS, () => this.sample());
  }

  private sample(): void {
    const now = this.options.timers.now();
    const delayMs = this.delayAt(now);
    this.sampledAt = now;
    if (delayMs > 0 || this.longestMs > 0) {
      this.samples = [...this.recent(now), { at: now, delayMs }];
      this.longestMs = Math.max(...this.samples.map((sample) => sample.delayMs));
    }
    if (delayMs >= LATE_MS && now - this.loggedAt >= MIN_LOG_INTERVAL_MS) this.report(now);
  }

  private report(now: number): void {
    const { log, fields = () => ({}), processorMs = usedProcessorMs } = this.options;
    const used = processorMs();
    log.warn('event loop is late', {
      loop_delay_ms: Math.round(this.delayMs),
      // Of the time since the last line; the first one tells of all the time since the start.
      processor_ms: Math.round(used - this.processorMsBefore),
      since_ms: this.loggedAt === -Infinity ? undefined : Math.round(now - this.loggedAt),
      ...fields(),
    });
    this.loggedAt = now;
    this.processorMsBefore = used;
  }

  /** How late the next sample is. */
  private delayAt(now: number): number {
    if (this.sampledAt === undefined) return 0;
    const delayMs = now - this.sampledAt - SAMPLE_INTERVAL_MS;
    return delayMs <= USUAL_DELAY_MS ? 0 : delayMs;
  }

  private recent(now: number): readonly Sample[] {
    return this.samples.filter(({ at }) => now - at < WINDOW_MS);
  }
}

function usedProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}
