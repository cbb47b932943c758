/** Process of a fleet, with the faults that tests inject: kill, freeze and restart. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';

const TERMINATE_TIMEOUT_MS = 40_000;

/** Exit code or signal with which a process ended; both are null before the first start. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Child process that can be started, signalled, frozen and ended. */
export class ManagedProcess {
  private child: ChildProcess | undefined;

  private exitStatus: Promise<ExitStatus> = Promise.resolve({ code: null, signal: null });

  /** @param logFile file to which standard output and standard error are appended */
  constructor(
    readonly name: string,
    private readonly script: string,
    private readonly args: readonly string[],
    readonly logFile: string,
    private readonly onSpawn: (pid: number) => void,
  ) {}

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get running(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /** Resolves when the process has ended. */
  get exited(): Promise<ExitStatus> {
    return this.exitStatus;
  }

  start(): void {
    if (this.running) throw new Error(`${this.name} is already running`);
    // eslint-disable-next-line n/no-sync
    const log = openSync(this.logFile, 'a');
    const child = spawn(process.execPath, [this.script, ...this.args], {
      stdio: ['ignore', log, log],
    });
    // eslint-disable-next-line n/no-sync
    closeSync(log);
    this.child = child;
    this.exitStatus = once(child, 'exit').then(([code, signal]) => ({ code, signal }));
    if (child.pid !== undefined) this.onSpawn(child.pid);
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<ExitStatus> {
    if (this.running) this.child?.kill('SIGKILL');
    return this.exitStatus;
  }

  /** Sends SIGTERM and waits for the exit; kills the process after `timeoutMs`. */
  async terminate(timeoutMs = TERMINATE_TIMEOUT_MS): Promise<ExitStatus> {
    if (this.running) this.child?.kill('SIGTERM');
    const timer = setTimeout(() => this.child?.kill('SIGKILL'), timeoutMs);
    const exit = await this.exitStatus;
    clearTimeout(timer);
    return exit;
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  thaw(): void {
    this.child?.kill('SIGCONT');
  }

  /** Kills the process if it runs and starts it again with the same arguments. */
  async restart(): Promise<void> {
    await this.kill();
    this.start();
  }
}
