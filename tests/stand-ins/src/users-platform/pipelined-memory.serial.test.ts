import assert from 'node:assert/strict';
import net from 'node:net';
import { afterEach, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { HOST } from './example-config.js';
import { SmallGateway } from './small-gateway.js';

const BASE_PORT = 30_500;
const IDLE_TIMEOUT_MS = 120_000;
const PIPELINED = 250;
const RESPONSE_BYTES = 64_000;
/** Some 3600 bytes, below the limit of the head. */
const LINES = Array.from({ length: 300 }, (_, index) => `x-${index}: a\r\n`).join('');
const CONNECT_INTERVAL_MS = 100;
const HOLD_MS = 2000;

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

/** Opens connections one after the other, each with many requests whose responses it does not read. */
async function pipeline(
  gateway: SmallGateway,
  requests: string,
  connections: number,
): Promise<void> {
  if (connections === 0) return;
  const [host, port] = gateway.process.callersAddress.split(':');
  const socket = net.connect({ host, port: Number(port) });
  cleanUps.push(() => {
    socket.destroy();
  });
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(requests);
  await delay(CONNECT_INTERVAL_MS);
  await pipeline(gateway, requests, connections - 1);
}

function requestOf(path: string, head = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: piped\r\n${head}\r\n`;
}

async function assertServes(gateway: SmallGateway): Promise<void> {
  await delay(HOLD_MS);
  gateway.assertWithinMemory();
  assert.equal((await gateway.sendShort()).status, 200);
  gateway.assertWithinMemory();
}

// Guards against responses of up to 64 KiB, each behind an unread one of its connection, that no limit counts.
test('pipelined responses that are not read stay within the memory', async () => {
  const gateway = await startGateway(BASE_PORT);
  gateway.target.plainBody = Buffer.alloc(RESPONSE_BYTES, 'x');
  await pipeline(gateway, requestOf('/read/1').repeat(PIPELINED), 20);
  await assertServes(gateway);
});

// Guards against requests that are few enough on each connection, and end the process over all connections.
[
  { name: 'handled', requests: requestOf('/read/1').repeat(PIPELINED) },
  { name: 'with heads of many lines', requests: requestOf('/read/1', LINES).repeat(PIPELINED) },
  { name: 'too many for their connection', requests: requestOf('/none').repeat(4 * PIPELINED) },
].forEach(({ name, requests }, index) => {
  test(`requests behind one that lasts stay within the memory, ${name}`, async () => {
    const gateway = await startGateway(BASE_PORT + 10 * (index + 1));
    await pipeline(gateway, requestOf('/held/1') + requests, 60);
    await assertServes(gateway);
  });
});
