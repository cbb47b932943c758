/** Compares the memory of a process with what its parts count as held. */
import type { Logger } from '../logs/logger.js';
import type { TimerService } from '../timers/timer-service.js';
import type { Metrics } from './metrics.js';

const CHECK_INTERVAL_MS = 1000;
const MIN_LOG_INTERVAL_MS = 10_000;
/** Share of the limit above which the memory is logged. */
const HIGH_SHARE = 0.8;
const BYTES_PER_MB = 1024 * 1024;

/** Bytes, as `process.memoryUsage` tells them. */
export type MemoryUsage = Pick<NodeJS.MemoryUsage, 'rss' | 'heapUsed' | 'external'>;

export interface MemoryWatchOptions {
  /** Memory of the VM, bytes. */
  readonly limitBytes: number;
  /** Bytes that each part of the process counts as held, by the name of the part. */
  readonly held: Readonly<Record<string, () => number>>;
  readonly timers: Pick<TimerService, 'every' | 'now'>;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly usage?: () => MemoryUsage;
}

/**
 * Tells buffers that no part of the process counts: what is still referenced after its memory was given
 * back, or never had a limit. Logs a line while the process comes close to the memory of its VM, every ten
 * seconds at most.
 */
export class MemoryWatch {
  private loggedAt = -Infinity;

  constructor(private readonly options: MemoryWatchOptions) {
    const gauge = options.metrics.gauge(
      'held_bytes',
      'Bytes that a part of the process counts as held.',
      ['part'],
    );
    Object.assign(gauge, {
      collect: () =>
        Object.entries(options.held).forEach(([part, bytes]) => gauge.set({ part }, bytes())),
    });
  }

  /** @example new MemoryWatch({ limitBytes, held, timers, metrics, log }).start() */
  start(): void {
    this.options.timers.every(CHECK_INTERVAL_MS, () => this.check());
  }

  private check(): void {
    const { limitBytes, held, timers, log } = this.options;
    const now = timers.now();
    if (now - this.loggedAt < MIN_LOG_INTERVAL_MS) return;
    const usage = this.readUsage();
    if (usage instanceof Error) {
      this.loggedAt = now;
      log.warn('memory could not be read', { err: usage });
      return;
    }
    const { rss, heapUsed, external } = usage;
    if (rss < limitBytes * HIGH_SHARE) return;
    this.loggedAt = now;
    const parts = Object.entries(held).map(([part, bytes]) => [`${part}_mb`, toMb(bytes())]);
    log.warn('memory is nearly used up', {
      limit_mb: toMb(limitBytes),
      resident_mb: toMb(rss),
      heap_mb: toMb(heapUsed),
      external_mb: toMb(external),
      ...Object.fromEntries(parts),
    });
  }

  /** Reading it takes a descriptor, so that it fails while the process has none left. */
  private readUsage(): MemoryUsage | Error {
    const { usage = () => process.memoryUsage() } = this.options;
    try {
      return usage();
    } catch (err) {
      return err instanceof Error ? err : new Error(String(err));
    }
  }
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
