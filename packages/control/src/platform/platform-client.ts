/** HTTP client of the platform's configuration service and list of VMs. */
import http from 'node:http';
import type { ConfigRange, VmList } from '@marjoramcart/core';
import { PooledAgent, headerBytes } from '@marjoramcart/runtime';

/** Result of a read; after a failed read the daemon keeps the data that it has. */
export type PlatformResult<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'failed'; readonly message: string };

export interface PlatformUrls {
  readonly config: string;
  readonly vms: string;
}

/**
 * Time for which the platform holds a watch (long poll) of the configuration without a change. A watch
 * on a connection that has gone silent has to end before a change that it misses is overdue.
 */
const CONFIG_WATCH_WAIT_MS = 3000;
const VMS_WATCH_WAIT_MS = 30_000;
const READ_TIMEOUT_MS = 2000;
/** Time beyond its wait after which a watch without a response fails. */
const CONFIG_WATCH_SLACK_MS = 1000;
const VMS_WATCH_SLACK_MS = 2000;
/** Request line and headers that Node.js adds to a plain GET. */
const REQUEST_HEADER_BYTES = 80;
const CONFIG_PREFIX = encodeURIComponent('config/');

/** Reads from the platform; each read or watch is counted as one call. */
export class PlatformClient {
  private readonly agent = new PooledAgent();

  private readonly pending = new Set<http.ClientRequest>();

  constructor(
    private readonly urls: PlatformUrls,
    private readonly onCall: (kind: string) => void,
    private readonly onBytes: (bytes: { sent: number; received: number }) => void,
  ) {}

  /** Reads the values that changed after a revision. */
  readConfig(after: number): Promise<PlatformResult<ConfigRange>> {
    const url = `${this.urls.config}/v1/range?prefix=${CONFIG_PREFIX}&after=${after}`;
    return this.get('config_range', url, READ_TIMEOUT_MS);
  }

  /** Waits some seconds for a revision above `after`; returns the current revision. */
  watchConfig(after: number, signal: AbortSignal): Promise<PlatformResult<{ revision: number }>> {
    const url = `${this.urls.config}/v1/watch?prefix=${CONFIG_PREFIX}&after=${after}&wait_ms=${CONFIG_WATCH_WAIT_MS}`;
    const timeoutMs = CONFIG_WATCH_WAIT_MS + CONFIG_WATCH_SLACK_MS;
    return this.get('config_watch', url, timeoutMs, signal);
  }

  readVms(): Promise<PlatformResult<VmList>> {
    return this.get('vms', `${this.urls.vms}/v1/vms`, READ_TIMEOUT_MS);
  }

  /** Waits for a version above `after`, for at most half a minute; returns the current version. */
  watchVms(after: number, signal: AbortSignal): Promise<PlatformResult<{ version: number }>> {
    const url = `${this.urls.vms}/v1/vms/watch?after=${after}&wait_ms=${VMS_WATCH_WAIT_MS}`;
    return this.get('vms_watch', url, VMS_WATCH_WAIT_MS + VMS_WATCH_SLACK_MS, signal);
  }

  close(): void {
    this.pending.forEach((req) => req.destroy());
    this.agent.destroy();
  }

  private get<Value>(
    kind: string,
    url: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<PlatformResult<Value>> {
    this.onCall(kind);
    return new Promise((resolve) => {
      const fail = (message: string): void => resolve({ kind: 'failed', message });
      const req = http.get(url, { agent: this.agent, signal }, (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', (err) => fail(err.message));
        res.on('end', () => {
          const body = Buffer.concat(chunks);
          this.onBytes({
            sent: url.length + REQUEST_HEADER_BYTES,
            received: body.length + headerBytes(res.rawHeaders),
          });
          if (res.statusCode !== 200) fail(`response has status ${res.statusCode}`);
          else resolve(parse(body.toString('utf8')));
        });
      });
      this.pending.add(req);
      const timer = setTimeout(
        () => req.destroy(new Error(`no response within ${timeoutMs} ms`)),
        timeoutMs,
      );
      req.on('error', (err) => fail(err.message));
      req.on('close', () => {
        clearTimeout(timer);
        this.pending.delete(req);
        fail('connection closed');
      });
    });
  }
}

function parse<Value>(text: string): PlatformResult<Value> {
  try {
    return { kind: 'ok', value: JSON.parse(text) as Value };
  } catch {
    return { kind: 'failed', message: 'response is not JSON' };
  }
}
