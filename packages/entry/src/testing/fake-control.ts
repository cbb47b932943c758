/** In-process control daemon for tests: responds to `entry.sync` with a snapshot and a view. */
import {
  buildSnapshot,
  mainPartSchema,
  snapshotDelta,
  type DomainView,
  type EntrySyncParams,
  type EntrySyncResult,
  type Snapshot,
} from '@marjoramcart/core';
import { HttpListener, MessageAuthenticator, RpcServer, silentLogger } from '@marjoramcart/runtime';

export const FLEET_SECRET = 'a secret of the fleet';

const EMPTY_VIEW: DomainView = {
  version: 1,
  targets: [],
  processes: [],
  summaries: [],
  suspects: [],
  isolated: false,
  entriesPerRegion: {},
};

export class FakeControl {
  readonly syncs: EntrySyncParams[] = [];

  view: DomainView = EMPTY_VIEW;

  private readonly listener: HttpListener;

  constructor(public snapshot: Snapshot) {
    const auth = new MessageAuthenticator(FLEET_SECRET, () => Date.now());
    const server = new RpcServer(auth, silentLogger());
    server.method('entry.sync', (params) => this.sync(params));
    this.listener = new HttpListener({
      address: '127.0.0.1:0',
      handler: (req, res) => server.handle(req, res),
      onError: () => undefined,
    });
  }

  get address(): string {
    return this.listener.address;
  }

  listen(): Promise<void> {
    return this.listener.listen();
  }

  close(): void {
    this.listener.destroy();
  }

  /** Changes the view and increments its version. */
  setView(change: Partial<DomainView>): void {
    this.view = { ...this.view, ...change, version: this.view.version + 1 };
  }

  private sync(params: EntrySyncParams): EntrySyncResult {
    this.syncs.push(params);
    const { snapshot, view } = this;
    const newer = snapshot.revision > params.revision;
    return {
      control: { ...params.process, role: 'control' },
      revision: snapshot.revision,
      delta: newer && params.held ? snapshotDelta(snapshot, params.held) : undefined,
      view: view.version === params.viewVersion ? undefined : view,
    };
  }
}

/**
 * Snapshot of a configuration as in `config/main`.
 *
 * @example testSnapshot(1, { format: 1, regions: {}, services: {}, classes: {} })
 */
export function testSnapshot(revision: number, text: unknown): Snapshot {
  const main = mainPartSchema.parse(text);
  return buildSnapshot(revision, main, main.customers);
}
