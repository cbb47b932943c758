/** Admin HTTP server of a daemon. It serves `/healthz`, `/readyz`, `/metrics` and `/status`. */
import type { ServerResponse } from 'node:http';
import type { ConnectionShare } from '../http/connection-share.js';
import { ignoreBody } from '../http/ignore-body.js';
import { HttpListener } from '../http/listener.js';
import type { Task } from '../kernel/kernel.js';
import type { Logger } from '../logs/logger.js';
import type { Metrics } from '../metrics/metrics.js';

/** Readiness as reported by `/readyz`, with status 200 when ready and 503 otherwise. */
export interface Readiness {
  readonly ready: boolean;
  /** `ready`, or the reason why the daemon is not ready. */
  readonly status: string;
  /** Revision of the active configuration; 0 before the first one is loaded. */
  readonly revision: number;
}

export interface AdminTaskOptions {
  /** `ip:port` to listen on; port 0 selects a free port. */
  readonly address: string;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly connections?: ConnectionShare;
  readonly readiness: () => Readiness;
  /** Returns the response body of `/status`. */
  readonly status: () => object;
  /** Updates the gauges; called before each response of `/metrics`. */
  readonly refresh?: () => void;
}

/**
 * Serves the admin paths. All response bodies are JSON, except that of `/metrics`.
 *
 * @example new AdminTask({ address, metrics, log, readiness, status })
 */
export class AdminTask implements Task {
  readonly name = 'admin';

  private readonly listener: HttpListener;

  constructor(private readonly options: AdminTaskOptions) {
    this.listener = new HttpListener({
      address: options.address,
      log: options.log,
      ...(options.connections ? { connections: options.connections } : {}),
      handler: (req, res) => {
        ignoreBody(req, res);
        return this.handle(req.url ?? '', res);
      },
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
