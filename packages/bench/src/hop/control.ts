/** Control daemon of the hop bench: one configuration and one target. */
import {
  buildSnapshot,
  hashText,
  mainPartSchema,
  snapshotDelta,
  type DomainView,
  type EntrySyncParams,
  type EntrySyncResult,
  type TargetState,
} from '@marjoramcart/core';
import {
  HttpListener,
  MessageAuthenticator,
  RpcServer,
  silentLogger,
} from '@marjoramcart/platform';

export const API_KEY = 'key-bench';
export const FLEET_SECRET = 'secret-of-the-hop-bench';

const text = {
  format: 1,
  regions: { north: { failure_domains: ['north-1'] } },
  models: { m: { version: '1', weights_mb: 1 } },
  services: { chat: { kind: 'model', model: 'm', regions: ['north'], deadline: '600s' } },
  classes: { standard: { priority: 10 } },
  customers: [{ id: 'c1', key: hashText(API_KEY), class: 'standard' }],
};

const target: TargetState = {
  vm: 't1',
  address: '',
  kind: 'engine',
  services: ['chat'],
  leaving: false,
  healthy: true,
  running: 0,
  queued: 0,
  waitMs: 1,
  concurrency: 4000,
  reportAgeMs: 10,
  sequence: 1,
};

/** Starts the daemon; its target is the engine at `engine`. */
export async function startControl(engine: string): Promise<HttpListener> {
  const main = mainPartSchema.parse(text);
  const snapshot = buildSnapshot(1, main, main.customers);
  const view: DomainView = {
    version: 1,
    targets: [{ ...target, address: engine }],
    processes: [],
    summaries: [],
    suspects: [],
    isolated: false,
    entriesPerRegion: { north: 1 },
  };
  const log = silentLogger();
  const server = new RpcServer(new MessageAuthenticator(FLEET_SECRET, () => Date.now()), log);
  server.method('entry.sync', (params: EntrySyncParams): EntrySyncResult => ({
    control: { ...params.process, role: 'control' },
    revision: 1,
    ...(params.held && params.revision < 1 && { delta: snapshotDelta(snapshot, params.held) }),
    ...(params.viewVersion !== 1 && { view }),
  }));
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (req, res) => server.handle(req, res),
    onError: (err) => log.error('request failed', { err }),
  });
  await listener.listen();
  return listener;
}
