/**
 * Stand-in for the key-value store of the users' platform: paged ranges, watches by revision,
 * compaction, and failures on demand.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { sendJson } from '../common/http-server.js';

interface Change {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

const PAGE_SIZE = 3;
const POLL_MS = 5;

export class StoreStandIn {
  private readonly server = http.createServer((req, res) => this.handle(req, res));

  private readonly items = new Map<string, Change>();

  private history: Change[] = [];

  private revision = 1;

  private compactedAt = 0;

  /** If set, HTTP status of all responses; 0 keeps connections open without a response. */
  failureStatus: number | undefined;

  /** Requests received so far. */
  calls = 0;

  async listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
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

  private change(key: string, value: string | undefined): void {
    this.revision += 1;
    const change = { key, value, revision: this.revision };
    this.history.push(change);
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, change);
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    this.calls += 1;
    if (this.failureStatus === 0) return;
    if (this.failureStatus !== undefined) {
      res.writeHead(this.failureStatus).end();
      return;
    }
    const { pathname, searchParams } = new URL(req.url ?? '', 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/api/kv-range') this.range(prefix, searchParams.get('after') ?? '', res);
    else
      this.watch(
        prefix,
        Number(searchParams.get('after')),
        Number(searchParams.get('waitMs')),
        res,
      );
  }

  private range(prefix: string, after: string, res: ServerResponse): void {
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_SIZE).map((key) => this.items.get(key));
    sendJson(res, 200, { items: page, hasMore: keys.length > PAGE_SIZE, asOf: this.revision });
  }

  private watch(prefix: string, after: number, waitMs: number, res: ServerResponse): void {
    if (after < this.compactedAt) {
      res.writeHead(410).end();
      return;
    }
    const events = this.history
      .filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
      .map(({ key, value, revision }) =>
        value === undefined ? { key, revision, deleted: true } : { key, value, revision },
      );
    if (events.length > 0 || waitMs <= 0) sendJson(res, 200, { events, asOf: this.revision });
    else if (!res.destroyed) {
      setTimeout(() => this.watch(prefix, after, waitMs - POLL_MS, res), POLL_MS);
    }
  }
}
