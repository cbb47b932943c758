/** Reads CPU time, memory and traffic of processes from /proc and /metrics, and the host load. */
import { readFile } from 'node:fs/promises';
import os from 'node:os';
import { request } from '@marjoramcart/stand-ins';

const TICKS_PER_S = 100;
const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1024 * 1024;
const METRIC_PREFIX = 'marjoramcart_';

/** Resource usage of a daemon since its start. */
export interface Usage {
  /** User and system time in seconds. */
  readonly cpuS: number;
  readonly residentMb: number;
  /** Bytes sent to and received from other VMs and the platform. */
  readonly bytes: number;
  /** Bytes sent to and received from the entries of the VM over loopback. */
  readonly syncBytes: number;
  readonly platformCalls: number;
}

/** CPU seconds of a process; the resolution is 10 ms. */
export async function cpuSeconds(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

/** Resident memory of a process in MB: current (`VmRSS`) or peak (`VmHWM`). */
export async function residentMb(pid: number, kind: 'VmRSS' | 'VmHWM' = 'VmRSS'): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = new RegExp(`${kind}:\\s+(\\d+) kB`).exec(status);
  return (Number(match?.[1] ?? 0) * BYTES_PER_KB) / BYTES_PER_MB;
}

/** Reads the usage of a control daemon from its admin listener. */
export async function readControlUsage(admin: string): Promise<Usage> {
  const { text } = await request('GET', `http://${admin}/metrics`);
  return {
    cpuS: sumMetric(text, 'process_cpu_seconds_total'),
    residentMb: sumMetric(text, 'process_resident_memory_bytes') / BYTES_PER_MB,
    bytes: sumMetric(text, 'control_bytes_total'),
    syncBytes: sumMetric(text, 'control_sync_bytes_total'),
    platformCalls: sumMetric(text, 'control_platform_calls_total'),
  };
}

/**
 * Sums a metric over all its label sets.
 *
 * @example sumMetric('marjoramcart_x{a="1"} 2\nmarjoramcart_x{a="2"} 3', 'x') // 5
 */
export function sumMetric(text: string, name: string): number {
  return text
    .split('\n')
    .filter(
      (line) =>
        line.startsWith(`${METRIC_PREFIX}${name}{`) || line.startsWith(`${METRIC_PREFIX}${name} `),
    )
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
}

/** Number of cores and the one-minute load average; recorded with each result. */
export function machineLoad(): { cores: number; load1: number } {
  return { cores: os.cpus().length, load1: Number((os.loadavg()[0] ?? 0).toFixed(1)) };
}
