/** Admin listener: `/healthz`, `/readyz`, `/metrics`, `/status`. */
import type { ServerResponse } from 'node:http';
import { HttpListener, type Logger, type Metrics, type Task } from '@marjoramcart/platform';
import type { ControlState } from './control-state.js';
import { statusOf } from './status.js';

export interface AdminTaskOptions {
  readonly state: ControlState;
  readonly metrics: Metrics;
  /** Brings gauges up to date before they are read. */
  readonly refresh: () => void;
  readonly address: string;
  readonly log: Logger;
}

export class AdminTask implements Task {
  readonly name = 'admin';

  private readonly listener: HttpListener;

  constructor(private readonly options: AdminTaskOptions) {
    this.listener = new HttpListener({
      address: options.address,
      handler: ({ url }, res) => this.handle(url ?? '', res),
      onError: (err) => options.log.error('[admin] request failed', { err }),
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
    const { state, metrics, refresh } = this.options;
    const [path] = url.split('?');
    if (path === '/healthz') sendJson(res, 200, { status: 'ok' });
    else if (path === '/readyz') {
      const { revision } = state.config;
      const body = { status: state.opened ? 'ready' : 'no configuration yet', revision };
      sendJson(res, state.opened ? 200 : 503, body);
    } else if (path === '/status') sendJson(res, 200, statusOf(state));
    else if (path === '/metrics') {
      refresh();
      const text = await metrics.text();
      res.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text);
    } else sendJson(res, 404, { error: 'not found' });
  }
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}
