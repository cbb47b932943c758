/** Gives a process a share of a processor only, by stopping and continuing it in turn. */
import { Worker } from 'node:worker_threads';

const PERIOD_MS = 50;
/** A thread of its own, since the timers of a busy test run late. */
const PROGRAM = `
  const { workerData: { pid, runMs, stopMs, ended } } = require('node:worker_threads');
  const wait = (ms) => Atomics.wait(ended, 0, 0, ms);
  while (Atomics.load(ended, 0) === 0) {
    process.kill(pid, 'SIGSTOP');
    wait(stopMs);
    process.kill(pid, 'SIGCONT');
    wait(runMs);
  }`;

export class SlowMachine {
  private readonly ended = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

  private worker: Worker | undefined;

  /**
   * @param pid process on the machine
   * @param share of a processor, from 0 to 1
   */
  constructor(
    private readonly pid: number,
    private readonly share: number,
  ) {}

  /** @example new SlowMachine(pid, 0.1).start() */
  start(): void {
    const { pid, ended, share } = this;
    const runMs = PERIOD_MS * share;
    const workerData = { pid, ended, runMs, stopMs: PERIOD_MS - runMs };
    this.worker = new Worker(PROGRAM, { eval: true, workerData });
    // The process may have ended.
    this.worker.on('error', () => undefined);
  }

  /** Lets the process run on at full speed. */
  async stop(): Promise<void> {
    Atomics.store(this.ended, 0, 1);
    Atomics.notify(this.ended, 0);
    await this.worker?.terminate();
    try {
      process.kill(this.pid, 'SIGCONT');
    } catch {
      // It has ended.
    }
  }
}
