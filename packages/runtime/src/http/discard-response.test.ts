import assert from 'node:assert/strict';
import { once } from 'node:events';
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ManualTimerService } from '../timers/manual-timer-service.js';
import { discardResponse } from './discard-response.js';

/** More than the operating system takes for a connection that is not read. */
const UNREAD_BYTES = 32 * 1024 * 1024;

interface Exchange {
  readonly req: ClientRequest;
  readonly res: IncomingMessage;
}

/** Starts a server that sends a chunk of a body that does not end, and requests it. */
async function unfinishedResponse(chunk: string): Promise<[Exchange, http.Server]> {
  const server = http.createServer((_, res) => res.write(chunk));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const req = http.get({ port, host: '127.0.0.1', agent: false });
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  return [{ req, res }, server];
}

function closed(res: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    res.on('close', resolve);
  });
}

// Guards against reading on for ever from a target that sends a body without end.
test('a response whose body does not end is closed after a while', async () => {
  const timers = new ManualTimerService();
  const [exchange, server] = await unfinishedResponse('slow');
  const { res } = exchange;
  discardResponse(exchange, timers);
  timers.advance(900);
  assert.equal(res.destroyed, false);
  timers.advance(200);
  await closed(res);
  server.close();
});

test('a response with a large body is closed without waiting for its end', async () => {
  const [exchange, server] = await unfinishedResponse('x'.repeat(200_000));
  discardResponse(exchange, new ManualTimerService());
  await closed(exchange.res);
  server.close();
});

// Guards against bodies that stay in memory, uncounted, since targets refused them without reading them.
test('a response to a request that is still being written is closed at once', async () => {
  const server = net.createServer((socket) => {
    socket.pause();
    socket.on('error', () => undefined);
    socket.write('HTTP/1.1 503 Full\r\nContent-Length: 10\r\n\r\npart');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const req = http.request({ port, host: '127.0.0.1', agent: false, method: 'POST' });
  req.on('error', () => undefined);
  req.end(Buffer.alloc(UNREAD_BYTES));
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  const { socket } = res;
  discardResponse({ req, res }, new ManualTimerService());
  assert.equal(socket.destroyed, true);
  server.close();
});
