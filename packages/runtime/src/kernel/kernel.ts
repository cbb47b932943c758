/** Kernel of a daemon: owns the timer service, the log and the tasks, and runs the shutdown. */
import type { Logger } from '../logs/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { SystemTimerService } from '../timers/system-timer-service.js';

/** A component that owns sockets and state. */
export interface Task {
  readonly name: string;
  start(): Promise<void>;
  /** Stops taking new work, finishes what is in flight and releases the sockets. */
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

  /** Adds a task; tasks start in the order they were added and stop in reverse. */
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

  /** Starts all tasks in order, without signal handlers; for several daemons in one process. */
  async start(): Promise<void> {
    await this.tasks.reduce(async (before, task) => {
      await before;
      await task.start();
      this.log.debug(`task ${task.name} started`);
    }, Promise.resolve());
  }

  /** Stops all tasks in reverse order; a second call waits for the first. */
  stop(): Promise<void> {
    this.stopping ??= this.stopTasks();
    return this.stopping;
  }

  private async stopTasks(): Promise<void> {
    await [...this.tasks].reverse().reduce(async (before, task) => {
      await before;
      await task.stop();
      this.log.debug(`task ${task.name} stopped`);
    }, Promise.resolve());
    this.timers.close();
    this.log.info('stopped');
  }
}

function exit(code: number): void {
  // Sockets that clients keep open would hold the process after a completed shutdown.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
