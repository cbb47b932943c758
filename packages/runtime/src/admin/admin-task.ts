/** Admin listener of a daemon: `/healthz`, `/readyz`, `/metrics`, `/status`. */
import type { ServerResponse } from 'node:http';
import { HttpListener } from '../http/listener.js';
import type { Task } from '../kernel/kernel.js';
import type { Logger } from '../logs/logger.js';
import type { Metrics } from '../metrics/metrics.js';

/** Answer of `/readyz`: 200 when ready, else 503. */
export interface Readiness {
  readonly ready: boolean;
  /** `ready`, or why the daemon is not. */
  readonly status: string;
  /** Revision in force; 0 without one. */
  readonly revision: number;
}

export interface AdminTaskOptions {
  /** `ip:port`; port 0 takes a free one. */
  readonly address: string;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly readiness: () => Readiness;
  /** Body of `/status`. */
  readonly status: () => object;
  /** Brings gauges up to date before they are read. */
  readonly refresh?: () => void;
}

/**
 * Serves the admin paths; all bodies but that of `/metrics` are JSON.
 *
 * @example new AdminTask({ address, metrics, log, readiness, status })
 */
export class AdminTask implements Task {
  readonly name = 'admin';

  private readonly listener: HttpListener;

  constructor(private readonly options: AdminTaskOptions) {
    this.listener = new HttpListener({
      address: options.address,
      handler: ({ url }, res) => this.handle(url ?? '', res),
      onError: (err) => options.log.error('request failed', { err }),
    });
  }

  get address(): string {
    return this.listener.address;
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  private async handle(url: string, res: ServerResponse): Promise<void> {
    const { metrics, readiness, refresh, status } = this.options;
    const [path] = url.split('?');
    switch (path) {
      case '/healthz':
        sendJson(res, 200, { status: 'ok' });
        return;
      case '/readyz': {
        const { ready, ...body } = readiness();
        sendJson(res, ready ? 200 : 503, body);
        return;
      }
      case '/status':
        sendJson(res, 200, status());
        return;
      case '/metrics': {
        refresh?.();
        const text = await metrics.text();
        res.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text);
        return;
      }
      default:
        sendJson(res, 404, { error: 'not found' });
    }
  }
}

function sendJson(res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}
