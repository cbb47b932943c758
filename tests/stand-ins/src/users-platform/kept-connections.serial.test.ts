import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { afterEach, test } from 'node:test';
import { HOST } from './example-config.js';
import { MAX_BODY_BYTES, SmallGateway } from './small-gateway.js';

const BASE_PORT = 29_800;
/** Longer than a test, so that no connection is closed because it is idle. */
const IDLE_TIMEOUT_MS = 120_000;
/** Descriptors of a gateway besides the connections of its callers. */
const OWN_DESCRIPTORS = 100;
const RETRY_MS = 20;
const SERVED = / 200 /;

let cleanUps: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
  cleanUps = [];
});

async function startGateway(basePort: number): Promise<SmallGateway> {
  const gateway = new SmallGateway({ basePort, idleTimeoutMs: IDLE_TIMEOUT_MS });
  cleanUps.push(() => gateway.close());
  await gateway.start();
  return gateway;
}

/** Sends one request on a new connection, which stays open; returns the first line of the response. */
async function sendAndStay(gateway: SmallGateway, bytes: number): Promise<string> {
  const [host, port] = gateway.process.callersAddress.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  const closed = once(socket, 'close').then(() => ['closed without a response']);
  const response = once(socket, 'data') as Promise<[Buffer]>;
  socket.write(
    `POST /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: kept\r\nDeadline-Ms: 20000\r\n` +
      `Content-Length: ${bytes}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(bytes, 'x'));
  const [text] = await Promise.race([response, closed]);
  const [firstLine = ''] = String(text).split('\r\n');
  const close = (): void => {
    socket.destroy();
  };
  if (SERVED.test(firstLine)) cleanUps.push(close);
  else close();
  return firstLine;
}

/** Sends one request, again on a new connection while it is refused because others take up the memory. */
async function untilServed(gateway: SmallGateway, bytes: number): Promise<void> {
  const firstLine = await sendAndStay(gateway, bytes);
  if (SERVED.test(firstLine)) return;
  gateway.assertAlive();
  await new Promise((resolve) => {
    setTimeout(resolve, RETRY_MS);
  });
  await untilServed(gateway, bytes);
}

const CLIENTS = [
  { name: 'bodies of 4 MB, one after the other', clients: 60, bytes: MAX_BODY_BYTES, atOnce: 1 },
  { name: 'bodies of 4 MB, sent at the same time', clients: 60, bytes: MAX_BODY_BYTES, atOnce: 60 },
  { name: 'bodies of 60,000 bytes', clients: 3000, bytes: 60_000, atOnce: 10 },
] as const;

// Guards against a connection that keeps the body of its latest request in memory while it stays open.
CLIENTS.forEach(({ name, clients, bytes, atOnce }, index) => {
  test(`${clients} kept connections whose requests had ${name} hold none of them`, async () => {
    const gateway = await startGateway(BASE_PORT + index * 10);
    const sendSome = async (left: number): Promise<void> => {
      if (left <= 0) return;
      await untilServed(gateway, bytes);
      await sendSome(left - 1);
    };
    await Promise.all(Array.from({ length: atOnce }, () => sendSome(clients / atOnce)));
    assert.ok(gateway.process.openDescriptors() >= clients, 'the connections did not stay open');
    assert.ok(gateway.process.openDescriptors() <= clients + OWN_DESCRIPTORS);
    assert.equal((await gateway.sendShort()).status, 200);
    gateway.assertWithinMemory();
  });
});
