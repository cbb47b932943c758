/** Admin listener: `/healthz`, `/readyz`, `/metrics`, `/status`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpListener, type Logger, type Metrics, type Task } from '@marjoramcart/platform';
import type { EntryState } from '../state/entry-state.js';

export interface AdminTaskOptions {
  readonly address: string;
  readonly state: EntryState;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Further fields of the status. */
  readonly details: () => Readonly<Record<string, unknown>>;
}

export class AdminTask implements Task {
  readonly name = 'admin';

  private readonly listener: HttpListener;

  constructor(private readonly options: AdminTaskOptions) {
    this.listener = new HttpListener({
      address: options.address,
      handler: (req, res) => this.handle(req, res),
      onError: (err) => options.log.error('admin request failed', { err }),
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

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { state, metrics } = this.options;
    switch (req.url) {
      case '/healthz':
        send(res, 200, 'text/plain', 'ok\n');
        return;
      case '/readyz':
        send(res, state.ready ? 200 : 503, 'text/plain', `${readiness(state)}\n`);
        return;
      case '/metrics':
        send(res, 200, metrics.registry.contentType, await metrics.text());
        return;
      case '/status':
        send(res, 200, 'application/json', JSON.stringify(this.status()));
        return;
      default:
        send(res, 404, 'text/plain', 'no such path\n');
    }
  }

  private status(): Readonly<Record<string, unknown>> {
    const { state, details } = this.options;
    return {
      process: state.self,
      state: state.controlLost ? 'control_lost' : readiness(state),
      ready: state.ready,
      draining: state.draining,
      control_lost: state.controlLost,
      isolated: state.view.isolated,
      revision: state.revision,
      root_hash: state.snapshot?.rootHash,
      view_version: state.view.version,
      view_age_ms: Math.round(state.viewAgeMs),
      targets: state.view.targets.length,
      ...details(),
    };
  }
}

function readiness(state: EntryState): string {
  if (state.draining) return 'draining';
  return state.config ? 'ready' : 'no_configuration';
}

function send(res: ServerResponse, status: number, type: string, text: string): void {
  res.writeHead(status, { 'content-type': type }).end(text);
}
