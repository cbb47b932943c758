import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import net from 'node:net';
import { after, afterEach, beforeEach, test } from 'node:test';
import { SystemTimerService } from '../timers/system-timer-service.js';
import { HttpListener } from './listener.js';
import { Pipeline } from './pipeline.js';

/** Longer than a closing listener keeps an idle connection. */
const LONG_MS = 1300;

const open = new Map<string, ServerResponse>();
const timers = new SystemTimerService();
let listener: HttpListener;
let socket: net.Socket;
let closed: Promise<unknown>;
let received: string;

beforeEach(async () => {
  open.clear();
  received = '';
  listener = new HttpListener({
    address: '127.0.0.1:0',
    timers,
    handler: (req, res) => {
      open.set(req.url ?? '', res);
    },
    onError: () => undefined,
    onClientError: (_err, client) => {
      client.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    },
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  socket = net.connect({ host: host ?? '', port: Number(port), noDelay: true });
  socket.on('error', () => undefined);
  closed = once(socket, 'close');
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
});

afterEach(() => {
  socket.destroy();
  listener.destroy();
});

after(() => timers.close());

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function ask(...paths: string[]): Promise<void> {
  socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
  await pause(50);
}

function respond(path: string): void {
  open.get(path)?.end(`body of ${path};`);
}

/** What the client received: the body of each response, after `close:` if it announced the close. */
function responses(): string[] {
  const parts = received.split('HTTP/1.1 ').slice(1);
  return parts.map((part) => {
    const close = /^connection: close/im.test(part) ? 'close:' : '';
    return close + (/body of (\S+);/.exec(part)?.[1] ?? part.slice(0, 3));
  });
}

// Guards against a stop that cuts the response to a request that was sent behind another one.
test('the last response on a connection announces the close, not one with a request behind it', async () => {
  listener.announceClose();
  await ask('/1');
  await ask('/2', '/3');
  respond('/2');
  respond('/1');
  await pause(50);
  await ask('/4');
  respond('/3');
  await pause(50);
  respond('/4');
  await closed;
  assert.deepEqual(responses(), ['/1', '/2', '/3', 'close:/4']);
});

// Guards against a request that is passed on although its connection closes before its response.
test('a request behind a response that has announced the close is not handled', async () => {
  listener.announceClose();
  await ask('/1');
  open.get('/1')?.write('body of /1;');
  await ask('/2');
  open.get('/1')?.end();
  await closed;
  assert.deepEqual([...open.keys()], ['/1']);
  assert.deepEqual(responses(), ['close:/1']);
});

// Guards against a reset that discards the last response while its client writes a further request.
test('a client that writes further requests receives the response that announced the close', async () => {
  listener.announceClose();
  await ask('/1');
  socket.pause();
  respond('/1');
  await pause(50);
  await ask('/2');
  await ask('/3');
  socket.resume();
  await closed;
  assert.deepEqual([...open.keys()], ['/1']);
  assert.deepEqual(responses(), ['close:/1']);
});

// Guards against an idle timeout that starts while the response to a further request is pending.
test('a closing listener waits for the response behind one that was sent', async () => {
  await ask('/1', '/2');
  const stopped = listener.close();
  respond('/1');
  await pause(LONG_MS);
  respond('/2');
  await Promise.all([stopped, closed]);
  assert.deepEqual(responses(), ['/1', 'close:/2']);
});

// Guards against a client that keeps a closing listener open by always having a request in flight.
test('a closing listener handles no request behind one in flight', async () => {
  await ask('/1');
  const stopped = listener.close();
  await ask('/2');
  respond('/1');
  await stopped;
  assert.deepEqual([...open.keys()], ['/1']);
});

// Guards against an error response that the client takes for that of an earlier request.
test('the response to invalid HTTP follows those to the requests before it', async () => {
  await ask('/1', '/2');
  socket.write('invalid\r\n\r\n');
  await pause(50);
  respond('/1');
  respond('/2');
  await closed;
  assert.deepEqual(responses(), ['/1', '/2', 'close:400']);
});

test('a request with an invalid body is responded to after the requests before it', async () => {
  await ask('/1');
  socket.write('POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\ninvalid\r\n');
  await pause(50);
  respond('/1');
  await closed;
  assert.deepEqual(responses(), ['/1', 'close:400']);
});

test('an error response is not sent behind one that announced the close', async () => {
  listener.announceClose();
  await ask('/1');
  open.get('/1')?.write('body of /1;');
  socket.write('invalid\r\n\r\n');
  await pause(50);
  open.get('/1')?.end();
  await closed;
  assert.deepEqual(responses(), ['close:/1']);
});

// Guards against a response that loses repeated headers since its connection closes, or has more requests behind.
test('repeated headers are sent in a pipeline and in the response that announces the close', async () => {
  const cookies = ['set-cookie', 'a=1', 'set-cookie', 'b=2', 'content-length', '0'];
  await ask('/1', '/2', '/3');
  listener.announceClose();
  const send = (path: string): unknown => open.get(path)?.writeHead(200, cookies).end();
  send('/1');
  send('/2');
  await pause(50);
  send('/3');
  await closed;
  const sent = Array(3).fill(['set-cookie: a=1', 'set-cookie: b=2']).flat();
  assert.deepEqual(received.match(/set-cookie: \S+/gi), sent);
  assert.equal(received.match(/connection: close/gi)?.length, 1);
});

// Guards against requests that go on after their client has left, and against a listener for each on their connection.
test('a response that waits for an earlier one hears once of the end of its connection', async () => {
  const heard: string[] = [];
  await ask(...Array.from({ length: 20 }, (_, index) => `/${index}`));
  const [first] = open.values();
  assert.ok(first && first.req.socket.listenerCount('close') <= 10);
  open.forEach((res, path) => res.on('close', () => heard.push(path)));
  respond('/0');
  respond('/3');
  await pause(50);
  socket.destroy();
  await pause(50);
  assert.deepEqual(heard.sort(), [...open.keys()].sort());
  assert.equal(open.size, 20);
});

// Guards against a client that occupies the process with a deep pipeline, so that all other callers wait.
test('the work for a request does not grow with the depth of its pipeline', () => {
  const depth = 10_000;
  const startedAt = performance.now();
  const pipeline = new Pipeline();
  const queued = Array.from({ length: depth }, () => ({
    headersSent: false,
    shouldKeepAlive: true,
    req: { complete: true },
    setHeader: () => undefined,
  })) as unknown as ServerResponse[];
  assert.ok(queued.every((res) => pipeline.add(res)));
  queued.forEach((res) => pipeline.remove(res));
  assert.equal(pipeline.size, 0);
  const ms = performance.now() - startedAt;
  assert.ok(ms < 500, `${Math.round(ms)} ms`);
});
