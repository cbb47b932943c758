/** Stand-in for the platform's store: ranges and watches by revision. */
import http from 'node:http';
import { BASE_PORT, ip } from './net.mjs';

function sendJson(res, status, body) {
  res.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
}

/** Store of the platform: ranges, watches by revision, one counter of revisions. */
export class Store {
  address = `${ip(2, 1)}:${BASE_PORT + 12}`;

  items = new Map();

  history = [];

  revision = 1;

  waiting = new Set();

  async listen() {
    this.server = http.createServer((req, res) => this.handle(req, res));
    const [host, port] = this.address.split(':');
    await new Promise((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
  }

  put(key, value) {
    this.change(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  delete(key) {
    this.change(key, undefined);
  }

  change(key, value) {
    this.revision += 1;
    const { revision } = this;
    const created = this.items.get(key)?.created ?? revision;
    const item =
      value === undefined
        ? { key, revision, deleted: true }
        : { key, value, revision, created, lease: 0 };
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, item);
    this.history.push(item);
    [...this.waiting].forEach((check) => check());
  }

  handle(req, res) {
    const { pathname, searchParams } = new URL(req.url, 'http://store');
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/api/kv-range') this.range(prefix, searchParams.get('after') ?? '', res);
    else if (pathname === '/api/kv-watch') {
      const after = Number(searchParams.get('after'));
      this.watch(prefix, after, Number(searchParams.get('waitMs')), res);
    } else {
      const item = this.items.get(searchParams.get('key'));
      if (item) sendJson(res, 200, { ...item, asOf: this.revision });
      else sendJson(res, 404, {});
    }
  }

  range(prefix, after, res) {
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, 200, { items, hasMore: false, asOf: this.revision });
  }

  watch(prefix, after, waitMs, res) {
    const wait = {
      finish: (events) => {
        clearTimeout(wait.timer);
        this.waiting.delete(wait.check);
        if (!res.destroyed && !res.headersSent) {
          sendJson(res, 200, { events, asOf: this.revision });
        }
      },
      check: () => {
        const events = this.history.filter(
          ({ key, revision }) => revision > after && key.startsWith(prefix),
        );
        if (events.length > 0) wait.finish(events);
      },
    };
    wait.timer = setTimeout(() => wait.finish([]), waitMs);
    this.waiting.add(wait.check);
    res.on('close', () => {
      clearTimeout(wait.timer);
      this.waiting.delete(wait.check);
    });
    wait.check();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
