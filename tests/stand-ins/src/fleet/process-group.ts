/**
 * Group of processes that end when the program that started them ends, even if that is killed. A
 * separate reaper process ends them.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { ManagedProcess } from './managed-process.js';
import { startTimeOf } from './process-table.js';

const REAPER_SCRIPT = fileURLToPath(new URL('reaper-main.js', import.meta.url));

/** Child processes of a program, by name. */
export class ProcessGroup {
  readonly processes = new Map<string, ManagedProcess>();

  private readonly reaper: ChildProcess;

  constructor(private readonly logFolder: string) {
    // In its own process group, the reaper is not killed when a terminal interrupts the program.
    this.reaper = spawn(process.execPath, [REAPER_SCRIPT], {
      stdio: ['pipe', 'ignore', 'ignore'],
      detached: true,
    });
    this.reaper.unref();
  }

  /** Adds a process without starting it. */
  add(name: string, script: string, args: readonly string[]): ManagedProcess {
    const onSpawn = (pid: number): void => {
      this.reaper.stdin?.write(`${pid} ${startTimeOf(pid)}\n`);
    };
    const managed = new ManagedProcess(
      name,
      script,
      args,
      `${this.logFolder}/${name}.log`,
      onSpawn,
    );
    this.processes.set(name, managed);
    return managed;
  }

  /** @throws Error when there is no such process */
  get(name: string): ManagedProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`no process '${name}'; known: ${[...this.processes.keys()]}`);
    return found;
  }

  /** Kills all processes that still run, then ends the reaper. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map((managed) => managed.kill()));
    this.reaper.ref();
    const ended = once(this.reaper, 'exit');
    this.reaper.stdin?.end();
    await ended;
  }
}
