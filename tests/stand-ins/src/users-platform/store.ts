/**
 * Stand-in for the key-value store of the users' platform: paged ranges, watches by revision,
 * compaction, older copies from which it comes back, and failures on demand.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { sendJson } from '../common/http-server.js';

interface Change {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** What the store held at an earlier time. */
interface Copy {
  readonly items: ReadonlyMap<string, Change>;
  readonly history: readonly Change[];
  readonly revision: number;
  readonly compactedAt: number;
}

const PAGE_SIZE = 3;
const POLL_MS = 5;
const STATUS_REFUSED = 503;
const STATUS_COMPACTED = 410;

/** How the store treats the requests that arrive at one of its addresses. */
export const StoreMode = {
  Serves: 'serves',
  /** Keeps connections open without a response. */
  Silent: 'silent',
  /** Responds with status 503. */
  Refuses: 'refuses',
  /** Loses responses that contain keys of the operator; the connection stays open. */
  LosesOperatorKeys: 'loses-operator-keys',
  /** Answers lists with one page after the other of entries that gateways do not use. */
  EndlessLists: 'endless-lists',
  /** Answers lists as of the last call of `freezeLists`. */
  StaleLists: 'stale-lists',
} as const;
export type StoreMode = (typeof StoreMode)[keyof typeof StoreMode];

const OPERATOR_PREFIX = 'op/';
const FOREIGN_VALUE = 'x'.repeat(1_000_000);

export class StoreStandIn {
  private readonly servers: http.Server[] = [];

  private readonly modes = new Map<string, StoreMode>();

  private frozenItems = new Map<string, Change>();

  private frozenRevision = 0;

  private frozenEra = 0;

  private readonly items = new Map<string, Change>();

  private history: Change[] = [];

  private revision = 1;

  private compactedAt = 0;

  private era = 1;

  private copy: Copy | undefined;

  /** If set, HTTP status of all responses; 0 keeps connections open without a response. */
  failureStatus: number | undefined;

  /** Requests received so far. */
  calls = 0;

  /** If set, called once after the first page of a list that has more pages. */
  onFirstPage: (() => void) | undefined;

  /** Listens on one more address; gateways with different addresses can be treated differently. */
  async listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    const server = http.createServer((req, res) => this.handle(req, res, address));
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(Number(port), host, resolve);
    });
  }

  close(): void {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Sets how requests are treated that arrive at an address; pending watches are affected too. */
  setMode(address: string, mode: StoreMode): void {
    this.modes.set(address, mode);
  }

  /** Keeps the present entries, era and revision for lists in the mode `StaleLists`. */
  freezeLists(): void {
    this.frozenItems = new Map(this.items);
    this.frozenRevision = this.revision;
    this.frozenEra = this.era;
  }

  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.change(key, Buffer.from(text).toString('base64'));
  }

  delete(key: string): void {
    this.change(key, undefined);
  }

  /** Drops the history: watches from an older revision get 410 and have to list again. */
  compact(): void {
    this.compactedAt = this.revision;
    this.history = [];
  }

  /** Keeps a copy of the present entries, history and revision for `goBack`. */
  keepCopy(): void {
    this.copy = {
      items: new Map(this.items),
      history: [...this.history],
      revision: this.revision,
      compactedAt: this.compactedAt,
    };
  }

  /**
   * Comes back from the copy: what was written since is gone, its revisions are given out again, and
   * the era rises. Watches from a revision that the copy doesn't have get 410.
   *
   * @throws Error without a copy
   */
  goBack(): void {
    if (!this.copy) throw new Error('there is no copy');
    this.items.clear();
    this.copy.items.forEach((item, key) => this.items.set(key, item));
    this.history = [...this.copy.history];
    this.revision = this.copy.revision;
    this.compactedAt = this.copy.compactedAt;
    this.era += 1;
  }

  private change(key: string, value: string | undefined): void {
    this.revision += 1;
    const change = { key, value, revision: this.revision };
    this.history.push(change);
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, change);
  }

  private handle(req: IncomingMessage, res: ServerResponse, address: string): void {
    this.calls += 1;
    res.setHeader('store-era', this.era);
    const mode = this.modeOf(address);
    if (this.failureStatus === 0 || mode === StoreMode.Silent) return;
    const { pathname, searchParams } = new URL(req.url ?? '', 'http://store');
    const isList = pathname === '/api/kv-range';
    const status = this.failureStatus ?? (mode === StoreMode.Refuses ? STATUS_REFUSED : undefined);
    if (status !== undefined) {
      res.writeHead(status).end();
      return;
    }
    const prefix = searchParams.get('prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    if (isList) this.range(prefix, after, res, address);
    else this.watch(prefix, Number(after), Number(searchParams.get('waitMs')), res, address);
  }

  private modeOf(address: string): StoreMode {
    return this.modes.get(address) ?? StoreMode.Serves;
  }

  private range(prefix: string, after: string, res: ServerResponse, address: string): void {
    if (this.modeOf(address) === StoreMode.EndlessLists) {
      const key = `${after}z`;
      const items = [{ key, value: FOREIGN_VALUE, revision: this.revision }];
      sendJson(res, 200, { items, hasMore: true, asOf: this.revision });
      return;
    }
    const stale = this.modeOf(address) === StoreMode.StaleLists;
    const items = stale ? this.frozenItems : this.items;
    const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const page = keys
      .slice(0, PAGE_SIZE)
      .map((key) => items.get(key))
      .filter((item) => item !== undefined);
    if (stale) res.setHeader('store-era', this.frozenEra);
    const asOf = stale ? this.frozenRevision : this.revision;
    const hasMore = keys.length > PAGE_SIZE;
    this.respond(res, address, page, { items: page, hasMore, asOf });
    if (!hasMore || after !== '') return;
    const { onFirstPage } = this;
    this.onFirstPage = undefined;
    onFirstPage?.();
  }

  private watch(
    prefix: string,
    after: number,
    waitMs: number,
    res: ServerResponse,
    address: string,
  ): void {
    if (this.modeOf(address) === StoreMode.Silent) return;
    res.setHeader('store-era', this.era);
    if (after < this.compactedAt || after > this.revision) {
      res.writeHead(STATUS_COMPACTED).end();
      return;
    }
    const changes = this.history.filter(
      ({ key, revision }) => key.startsWith(prefix) && revision > after,
    );
    if (changes.length > 0 || waitMs <= 0) {
      const events = changes.map(({ key, value, revision }) =>
        value === undefined ? { key, revision, deleted: true } : { key, value, revision },
      );
      this.respond(res, address, changes, { events, asOf: this.revision });
    } else if (!res.destroyed) {
      setTimeout(() => this.watch(prefix, after, waitMs - POLL_MS, res, address), POLL_MS);
    }
  }

  private respond(
    res: ServerResponse,
    address: string,
    items: readonly Change[],
    body: object,
  ): void {
    const hasOperatorKeys = items.some(({ key }) => key.startsWith(OPERATOR_PREFIX));
    const isLost = this.modeOf(address) === StoreMode.LosesOperatorKeys && hasOperatorKeys;
    if (!isLost) sendJson(res, 200, body);
  }
}
