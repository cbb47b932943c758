/** Stand-in for a runner: an incarnation at each start, entries in the store, load reports. */
import http from 'node:http';
import { BASE_PORT, ip } from './net.mjs';

/** Runner of a service; `answer` handles a request that it begins to run. */
export class Runner {
  inFlight = 0;

  queued = 0;

  down = false;

  starts = 0;

  beatMs = 1200;

  sockets = new Set();

  constructor(store, { n, id, service, zone, version = 'v1', slots = 64, answer }) {
    Object.assign(this, { store, id, service, zone, version, slots, answer });
    this.address = `${ip(1, n)}:${BASE_PORT + 11}`;
  }

  async start() {
    if (this.closed) return;
    this.born = Date.now();
    this.starts += 1;
    this.down = false;
    this.server = http.createServer({ keepAliveTimeout: 5000 }, (req, res) =>
      this.handle(req, res),
    );
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    const [host, port] = this.address.split(':');
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
    // Entries are written about every heartbeat, so that of a new start comes up to one later.
    this.beat = setTimeout(() => this.register(), this.starts > 1 ? this.beatMs : 0);
  }

  register(changes = {}) {
    const { service, address, zone, version, slots, born, starts } = this;
    this.store.put(`servers/${this.id}`, {
      service,
      address,
      zone,
      version,
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      stage: 'colocated',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: starts,
      born,
      ...changes,
    });
  }

  /** Ends like a killed process: the port refuses connections and open connections are reset. */
  crash() {
    this.down = true;
    clearTimeout(this.beat);
    this.inFlight = 0;
    this.server.close();
    [...this.sockets].forEach((socket) => socket.resetAndDestroy());
  }

  handle(req, res) {
    const { born, id, slots } = this;
    if (req.url === '/api/report') {
      const body = JSON.stringify({
        stage: 'colocated',
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: 1,
        queued: this.queued,
        inFlight: this.inFlight,
        kvUsed: this.inFlight * 1000,
        kvTotal: 400000,
        handles: 0,
        born,
      });
      res.writeHead(200, { 'Content-Type': 'application/json' }).end(body);
      return;
    }
    if (req.url === '/healthz') {
      res
        .writeHead(200, { 'Instance-Id': id, 'Instance-Load': `${this.inFlight},0,${slots}` })
        .end();
      return;
    }
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421, { 'Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const chunks = [];
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      this.inFlight += 1;
      res.on('close', () => {
        this.inFlight = Math.max(0, this.inFlight - 1);
      });
      const requestId = String(req.headers['request-id']);
      const common = { 'Request-Id': requestId, 'Response-Signature': `${id}.${requestId}` };
      this.answer({ runner: this, req, res, requestId, common, body: Buffer.concat(chunks) });
    });
  }

  close() {
    this.closed = true;
    clearTimeout(this.beat);
    this.server.close();
    this.server.closeAllConnections();
  }
}
