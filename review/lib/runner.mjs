/**
 * Stand-in for a runner of PROTOCOL.md. It reads one request at a time from each connection, checks
 * `Expect-Instance`, and reports each run to its listener. What a case disrupts is given as hooks.
 */
import net from 'node:net';

const HEAD_END = Buffer.from('\r\n\r\n');
const EVENT_MS = 40;

/** Reads requests with a length from a connection, one after the other. */
function readRequests(socket, onRequest) {
  let data = Buffer.alloc(0);
  let busy = false;
  const next = () => {
    if (busy) return;
    const end = data.indexOf(HEAD_END);
    if (end < 0) return;
    const [first, ...lines] = data.subarray(0, end).toString('latin1').split('\r\n');
    const headers = Object.fromEntries(
      lines.map((line) => {
        const at = line.indexOf(':');
        return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
      }),
    );
    const length = Number(headers['content-length'] ?? 0);
    const start = end + HEAD_END.length;
    if (data.length < start + length) return;
    const body = data.subarray(start, start + length).toString('latin1');
    data = data.subarray(start + length);
    const [method, path] = first.split(' ');
    busy = true;
    onRequest({ method, path, headers, body }, () => {
      busy = false;
      next();
    });
  };
  socket.on('data', (chunk) => {
    data = Buffer.concat([data, chunk]);
    next();
  });
}

export function answer(status, headers, body = '') {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status} X\r\n${lines.join('')}\r\n${body}`;
}

export class Runner {
  /**
   * @param options id, service, zone, host, port, slots, streams, workMs, events and the hooks of the
   *   case: `onRun(run)`, and `intercept(request, socket, runner)`, which returns true when it has
   *   handled a request before it would run
   */
  constructor(options) {
    Object.assign(this, { workMs: 20, events: 10, slots: 64, ...options });
    this.sockets = new Set();
    this.running = 0;
    this.born = Date.now();
    this.up = false;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: this.born,
    };
  }

  start() {
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.up = true;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  /** Ends like a process that is killed: all connections are reset and new ones are refused. */
  stop() {
    this.up = false;
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    readRequests(socket, (request, done) => this.handle(request, socket, done));
  }

  handle(request, socket, done) {
    const { headers, path } = request;
    if (path === '/api/report') {
      const report = { stage: 'colocated', busy: false, sequence: 1, queued: 0, kvUsed: 0 };
      const text = JSON.stringify({
        ...report,
        models: [{ name: 'm', version: 1, adapters: [] }],
        inFlight: this.running,
        kvTotal: 436_910,
        handles: 0,
      });
      socket.write(answer(200, { 'Content-Type': 'application/json' }, text));
      done();
      return;
    }
    const id = headers['request-id'];
    if (headers['expect-instance'] !== this.id) {
      socket.write(answer(421, { 'Request-Id': id, 'Instance-Id': this.id }));
      done();
      return;
    }
    if (this.intercept?.(request, socket, done)) return;
    this.run(request, socket, done);
  }

  /** Runs a request until it is done or its connection closes. */
  run(request, socket, done) {
    const id = request.headers['request-id'];
    const run = { id, runner: this.id, request, startedAt: performance.now(), endedAt: undefined };
    this.onRun?.(run);
    this.running += 1;
    const finish = () => {
      if (run.endedAt !== undefined) return;
      run.endedAt = performance.now();
      this.running -= 1;
    };
    socket.once('close', finish);
    const head = {
      'Request-Id': id,
      'Response-Signature': `${this.id}.${id}`,
      'Instance-Load': `${this.running},0,${this.slots}`,
    };
    const end = () => {
      if (socket.destroyed) return;
      finish();
      socket.off('close', finish);
      done();
    };
    if (this.streams) this.stream(request, head, socket, end);
    else {
      setTimeout(() => {
        if (socket.destroyed) return;
        const text = this.spoil?.(run) ?? answer(200, head, `${this.id} ran ${id}`);
        socket.write(text);
        end();
      }, this.workMs);
    }
  }

  stream({ headers }, head, socket, end) {
    const lines = Object.entries({ ...head, 'Content-Type': 'text/event-stream' }).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    let id = Number(headers['last-event-id'] ?? 0) + 1;
    let start = `HTTP/1.1 200 OK\r\n${lines.join('')}Transfer-Encoding: chunked\r\n\r\n`;
    const timer = setInterval(() => {
      if (socket.destroyed) {
        clearInterval(timer);
        return;
      }
      const event = `id: ${id}\ndata: event ${id}\n\n`;
      socket.write(`${start}${event.length.toString(16)}\r\n${event}\r\n`);
      start = '';
      id += 1;
      if (id <= this.events) return;
      clearInterval(timer);
      socket.write('0\r\n\r\n');
      end();
    }, EVENT_MS);
  }
}
