/**
 * Lifecycle of a daemon. The kernel owns the timer service, the logger and the metrics, starts the
 * tasks and stops them on shutdown.
 */
import type { Logger } from '../logs/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { SystemTimerService } from '../timers/system-timer-service.js';

/** A component of a daemon with a lifecycle, such as a listener or a periodic job. */
export interface Task {
  readonly name: string;
  start(): Promise<void>;
  /** Stops accepting new work, finishes the work in flight and releases the sockets. */
  stop(): Promise<void>;
}

export interface KernelOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
}

const EXIT_OK = 0;
const EXIT_FAILURE = 1;

export class Kernel {
  readonly timers = new SystemTimerService();

  readonly log: Logger;

  readonly metrics: Metrics;

  private readonly tasks: Task[] = [];

  private stopping: Promise<void> | undefined;

  constructor(options: KernelOptions) {
    this.log = options.log;
    this.metrics = options.metrics;
  }

  /** Adds a task. Tasks start in the order in which they were added and stop in reverse order. */
  add(task: Task): void {
    this.tasks.push(task);
  }

  /** Starts all tasks and stops them on SIGTERM or SIGINT. */
  async run(): Promise<void> {
    ['SIGTERM', 'SIGINT'].forEach((signal) => {
      process.on(signal, () => {
        this.log.info(`received ${signal}, shutting down`);
        void this.stop().then(
          () => exit(EXIT_OK),
          (err: unknown) => {
            this.log.error('shutdown failed', { err });
            exit(EXIT_FAILURE);
          },
        );
      });
    });
    await this.start();
    this.log.info('ready');
  }

  /** Starts all tasks in order without signal handlers, for several daemons in one process. */
  async start(): Promise<void> {
    await this.tasks.reduce(async (previous, task) => {
      await previous;
      await task.start();
      this.log.debug(`task ${task.name} started`);
    }, Promise.resolve());
  }

  /** Stops all tasks in reverse order. Later calls return the promise of the first. */
  stop(): Promise<void> {
    this.stopping ??= this.stopTasks();
    return this.stopping;
  }

  private async stopTasks(): Promise<void> {
    await [...this.tasks].reverse().reduce(async (previous, task) => {
      await previous;
      await task.stop();
      this.log.debug(`task ${task.name} stopped`);
    }, Promise.resolve());
    this.timers.close();
    this.log.info('stopped');
  }
}

function exit(code: number): void {
  // Sockets that clients keep open would keep the process alive after the shutdown.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
