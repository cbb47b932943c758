/** A gateway in a process of its own, with a heap limit and the memory of a small VM in its settings. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, readdirSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { renderSettings } from './example-config.js';

const START = fileURLToPath(new URL('../../../../platform/dist/start.js', import.meta.url));
const BYTES_PER_KB = 1024;
const METRICS_OFFSET = 8;
const STORE_OFFSET = 9;

export interface ProcessOptions {
  /** First of ten free ports. */
  readonly basePort: number;
  readonly memoryMb: number;
  /** Limit of the old generation of the heap, MB. */
  readonly heapMb: number;
  /** Descriptors of the machine, as its settings tell them. */
  readonly maxFds?: number;
  /** Limit of the open descriptors of the process itself. */
  readonly descriptorLimit?: number;
  /** Lines that are added to the gateway's own settings (YAML). */
  readonly tuning?: string;
}

export class GatewayProcess {
  private child: ChildProcess | undefined;

  private folder = '';

  private logText = '';

  constructor(private readonly options: ProcessOptions) {}

  /** `ip:port` of the store that the gateway reads. */
  get storeAddress(): string {
    return `127.0.2.1:${this.options.basePort + STORE_OFFSET}`;
  }

  get callersAddress(): string {
    return `127.0.0.1:${this.options.basePort}`;
  }

  get metricsAddress(): string {
    return `127.0.0.1:${this.options.basePort + METRICS_OFFSET}`;
  }

  /** Undefined before the start. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Lines that the process has logged. */
  get log(): string {
    return this.logText;
  }

  /** How the process ended; undefined while it runs. */
  get end(): string | undefined {
    const { exitCode, signalCode } = this.child ?? {};
    return signalCode ?? exitCode?.toString();
  }

  async start(): Promise<void> {
    const { basePort, memoryMb, heapMb, maxFds, descriptorLimit, tuning = '' } = this.options;
    this.folder = await mkdtemp(join(tmpdir(), 'gateway-'));
    const settings = join(this.folder, 'boot.toml');
    const tuningFile = join(this.folder, 'gateway.yaml');
    const location = {
      node: 'vm-1',
      ip: '127.0.0.1',
      zone: 'north-a',
      basePort,
      memoryMb,
      storeAddress: this.storeAddress,
      seedIp: '127.0.0.1',
      ...(maxFds === undefined ? {} : { maxFds }),
    } as const;
    await writeFile(settings, renderSettings(location));
    await writeFile(tuningFile, `metrics_port: ${basePort + METRICS_OFFSET}\n${tuning}`);
    const limit = descriptorLimit === undefined ? '' : `ulimit -n ${descriptorLimit}; `;
    this.child = spawn(
      'sh',
      [
        '-c',
        `${limit}exec "$0" "$@"`,
        process.execPath,
        `--max-old-space-size=${heapMb}`,
        START,
        '--settings',
        settings,
        '--tuning',
        tuningFile,
      ],
      { stdio: ['ignore', 'pipe', 'ignore'] },
    );
    this.child.stdout?.on('data', (chunk: Buffer) => {
      this.logText += chunk.toString();
    });
  }

  /** Largest resident memory of the process so far, KB. */
  peakMemoryKb(): number {
    return Number(/VmHWM:\s+(\d+)/.exec(this.readProc('status'))?.[1]);
  }

  openDescriptors(): number {
    // Blocking is acceptable in a test.
    // eslint-disable-next-line n/no-sync
    return readdirSync(`/proc/${this.child?.pid}/fd`).length;
  }

  /** Current resident memory of the process, bytes. */
  residentBytes(): number {
    return Number(/VmRSS:\s+(\d+)/.exec(this.readProc('status'))?.[1]) * BYTES_PER_KB;
  }

  async stop(): Promise<void> {
    if (this.child && this.end === undefined) {
      this.child.kill('SIGKILL');
      await once(this.child, 'exit');
    }
    await rm(this.folder, { recursive: true, force: true });
  }

  private readProc(name: string): string {
    // eslint-disable-next-line n/no-sync
    return readFileSync(`/proc/${this.child?.pid}/${name}`, 'utf8');
  }
}
