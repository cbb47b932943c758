/** RPC listener for messages of entries, other control daemons and operators. */
import { snapshotDelta } from '@marjoramcart/core';
import {
  HttpListener,
  RPC_PATH,
  type Logger,
  type RpcServer,
  type Task,
} from '@marjoramcart/runtime';
import type { ControlState } from '../control-state.js';
import { statusOf } from '../status.js';
import { handleEntrySyncRequest } from './entry-sync.js';
import type { GossipTask } from './gossip-task.js';

export interface PeerTaskOptions {
  readonly state: ControlState;
  readonly gossip: GossipTask;
  readonly server: RpcServer;
  /** Probes targets at once after an entry reported failures, without waiting for the interval. */
  readonly probeNow: (vms: readonly string[]) => void;
  readonly address: string;
  readonly log: Logger;
}

export class PeerTask implements Task {
  readonly name = 'peers';

  private readonly listener: HttpListener;

  constructor(options: PeerTaskOptions) {
    const { state, gossip, server, log } = options;
    server.method('entry.sync', (params) =>
      handleEntrySyncRequest(state, params, options.probeNow),
    );
    server.method('gossip.exchange', (params) => gossip.handleExchange(params));
    server.method('config.fetch', ({ held, revision }) => {
      const { current } = state.config;
      return current && current.revision > revision ? { delta: snapshotDelta(current, held) } : {};
    });
    server.method('vms.fetch', ({ version }) =>
      state.vms.current.version > version ? { list: state.vms.current } : {},
    );
    server.method('status.get', () => statusOf(state));
    this.listener = new HttpListener({
      address: options.address,
      log,
      handler: (req, res) => {
        if (req.method === 'POST' && req.url === RPC_PATH) return server.handle(req, res);
        res.writeHead(404).end();
        return undefined;
      },
      onError: (err) => log.error('[peers] failed to handle a message', { err }),
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
}
