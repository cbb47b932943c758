import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import net from 'node:net';
import { after, afterEach, test } from 'node:test';
import { SystemTimerService } from '../timers/system-timer-service.js';
import { discardBody, MAX_DISCARDED_BYTES } from './discard-body.js';
import { dropBody, holdReading } from './hold-reading.js';
import { lingeringClose } from './lingering-close.js';
import { HttpListener } from './listener.js';

/** More than a process reads of a connection after it was told to stop: one read of each side. */
const READ_BYTES = 512 * 1024;
const POST = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNK = `10000\r\n${'x'.repeat(65_536)}\r\n`;

const timers = new SystemTimerService();
let cleanUps: (() => void)[] = [];

afterEach(() => {
  cleanUps.forEach((cleanUp) => cleanUp());
  cleanUps = [];
});

after(() => timers.close());

/** Connects a client to a listener, which passes each request with its number on the connection. */
async function connect(
  handler: (index: number, req: IncomingMessage, res: ServerResponse) => void,
): Promise<net.Socket> {
  let requests = 0;
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (req, res) => {
      handler(requests, req, res);
      requests += 1;
    },
    onError: () => undefined,
    onClientError: (_err, socket) => socket.destroy(),
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const client = net.connect({ host, port: Number(port) });
  client.on('error', () => undefined);
  client.resume();
  await once(client, 'connect');
  cleanUps.push(
    () => client.destroy(),
    () => listener.destroy(),
  );
  return client;
}

/** Returns the bytes that were read of a connection once they do not grow any more. */
async function untilStill(socket: net.Socket, before = -1): Promise<number> {
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const { bytesRead } = socket;
  return bytesRead === before ? bytesRead : untilStill(socket, bytesRead);
}

// Guards against a refused body that is read on, as Node.js resumes the connection after the body before it.
test('a connection that is held in the read that ends the request before it is not read on', async () => {
  let socket: net.Socket | undefined;
  const client = await connect((index, req) => {
    req.resume();
    if (index === 0) {
      // As for a body in tiny chunks; its end is in the same read.
      req.once('data', () => holdReading(req));
      return;
    }
    holdReading(req);
    socket = req.socket;
  });
  client.write(`${POST}1\r\nx\r\n0\r\n\r\n${POST}${CHUNK.repeat(200)}`);
  const untilHeld = async (): Promise<net.Socket> => {
    if (socket) return socket;
    await new Promise(setImmediate);
    return untilHeld();
  };
  const bytesRead = await untilStill(await untilHeld());
  assert.ok(bytesRead <= READ_BYTES, `${bytesRead} bytes read`);
});

['end', 'reset'].forEach((way) => {
  // Guards against a request that keeps its place until its deadline, as the end of its connection is not seen.
  test(`the ${way} of a connection is seen behind a body that is discarded`, async () => {
    const responses: ServerResponse[] = [];
    const client = await connect((index, req, res) => {
      responses.push(res);
      if (index > 0) discardBody(req);
    });
    client.write(`GET / HTTP/1.1\r\nHost: a\r\n\r\n${POST}${CHUNK.repeat(20)}`);
    const untilHandled = async (): Promise<ServerResponse> => {
      const [first] = responses;
      if (first && responses.length === 2) return first;
      await new Promise(setImmediate);
      return untilHandled();
    };
    const closed = once(await untilHandled(), 'close');
    if (way === 'end') client.end();
    else client.resetAndDestroy();
    await closed;
  });
});

// Guards against the rest of a refused request that is parsed at full speed, as Node.js removes what counts it.
test('a connection closes when more than the limit follows a refusal without reading', async () => {
  let socket: net.Socket | undefined;
  const client = await connect((_index, req, res) => {
    socket = req.socket;
    dropBody(req);
    res.prependOnceListener('finish', () => lingeringClose(req, timers, true));
    setImmediate(() => res.writeHead(503, { 'content-length': 0 }).end());
  });
  const closed = new Promise((resolve) => {
    client.on('close', resolve);
  });
  client.write(POST + CHUNK.repeat(800));
  await closed;
  const bytesRead = socket?.bytesRead ?? Infinity;
  assert.ok(bytesRead <= MAX_DISCARDED_BYTES + READ_BYTES, `${bytesRead} bytes read`);
});
