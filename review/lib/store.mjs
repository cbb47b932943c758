/** Stand-in for the platform's store: paged lists, and watches that wait for changes by revision. */
import http from 'node:http';

const PAGE_SIZE = 500;
const POLL_MS = 10;

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
}

export class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.server = http.createServer((req, res) => this.handle(req, res));
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    this.revision += 1;
    const known = this.items.get(key);
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      created: known?.created ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.history.push(item);
  }

  delete(key) {
    this.revision += 1;
    this.items.delete(key);
    this.history.push({ key, revision: this.revision, deleted: true });
  }

  handle(req, res) {
    const { pathname, searchParams } = new URL(req.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    if (pathname === '/api/kv-range') this.range(prefix, after, res);
    else if (pathname === '/api/kv-watch') {
      this.watch(prefix, Number(after), Number(searchParams.get('waitMs')), res);
    } else sendJson(res, 404, {});
  }

  range(prefix, after, res) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.sort().slice(0, PAGE_SIZE);
    sendJson(res, 200, {
      items: page.map((key) => this.items.get(key)),
      hasMore: keys.length > page.length,
      asOf: this.revision,
    });
  }

  watch(prefix, after, waitMs, res) {
    if (res.destroyed) return;
    const events = this.history.filter(
      ({ key, revision }) => key.startsWith(prefix) && revision > after,
    );
    if (events.length > 0 || waitMs <= 0) sendJson(res, 200, { events, asOf: this.revision });
    else setTimeout(() => this.watch(prefix, after, waitMs - POLL_MS, res), POLL_MS);
  }
}
