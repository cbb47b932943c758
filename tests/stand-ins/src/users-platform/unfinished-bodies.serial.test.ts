import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { BodyCrowd, type BodyShape } from './body-crowd.js';
import { HOST } from './example-config.js';
import { MAX_BODY_BYTES, SmallGateway } from './small-gateway.js';

const BASE_PORT = 29_600;
/** Descriptors of a gateway besides the connections of its callers. */
const OWN_DESCRIPTORS = 100;
/** The crowd stalls for this time before the process is looked at. */
const STALL_MS = 3000;
const QUEUED_CLIENTS = 40;
const QUEUED_CHUNKS = 60_000;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

let cleanUps: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
  cleanUps = [];
});

async function startGateway(basePort: number, tuning = ''): Promise<SmallGateway> {
  const gateway = new SmallGateway({ basePort, tuning });
  cleanUps.push(() => gateway.close());
  await gateway.start();
  return gateway;
}

const CROWDS: readonly { name: string; clients: number; shape: Omit<BodyShape, 'path'> }[] = [
  { name: 'one-byte chunks', clients: 12, shape: { bytes: 60_000, chunkBytes: 1 } },
  { name: '16-byte chunks', clients: 40, shape: { bytes: 240_000, chunkBytes: 16 } },
  {
    name: 'one-byte chunks that arrive in pieces',
    clients: 12,
    shape: { bytes: 60_000, chunkBytes: 1, pieceBytes: 1200 },
  },
  { name: '64 KiB chunks', clients: 40, shape: { bytes: MAX_BODY_BYTES, chunkBytes: 65_536 } },
  { name: 'a declared length', clients: 40, shape: { bytes: MAX_BODY_BYTES - 8 } },
  {
    name: 'a declared length, piecewise',
    clients: 40,
    shape: { bytes: MAX_BODY_BYTES - 8, pieceBytes: 16_384 },
  },
  // Together they take up the memory for bodies exactly: a fifth of the memory of the VM.
  { name: '256 KiB each', clients: 200, shape: { bytes: 256 * 1024 - 8 } },
  { name: '1000 bytes each', clients: 1500, shape: { bytes: 1000 } },
  { name: '1000 one-byte chunks', clients: 600, shape: { bytes: 1000, chunkBytes: 1 } },
];

// Guards against a gateway that is ended for its memory, or serves nobody, because of unfinished bodies.
CROWDS.forEach(({ name, clients, shape }, index) => {
  test(`${clients} unfinished bodies with ${name} leave a gateway alive and serving`, async () => {
    const gateway = await startGateway(BASE_PORT + index * 10);
    const crowd = new BodyCrowd(gateway.process.callersAddress);
    cleanUps.push(() => crowd.close());
    await crowd.send(clients, { path: '/read/1', ...shape });
    await wait(STALL_MS);
    gateway.assertAlive();
    assert.ok(gateway.process.openDescriptors() <= clients + OWN_DESCRIPTORS);
    const res = await gateway.sendShort();
    assert.equal(res.status, 200);
    gateway.assertWithinMemory();
  });
});

test('a single body of 4 MB in one-byte chunks is served', async () => {
  const gateway = await startGateway(BASE_PORT + CROWDS.length * 10);
  const body = '1\r\nx\r\n'.repeat(MAX_BODY_BYTES);
  const crowd = new BodyCrowd(gateway.process.callersAddress);
  cleanUps.push(() => crowd.close());
  const response = await crowd.exchange(
    `POST /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: whole\r\nDeadline-Ms: 20000\r\n` +
      `Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n`,
  );
  assert.match(response, /^HTTP\/1\.1 200 /);
  gateway.assertAlive();
  gateway.assertWithinMemory();
});

const MAX_CONNECTIONS = 50;
const MAX_OPEN_BODIES = 20;
const LIMITED_CLIENTS = 200;
/** Incomplete heads of requests, and complete heads whose bodies stall. */
const LIMITED_CROWDS = ['unfinished headers', 'unfinished bodies'] as const;

// Guards against clients that use up the descriptors of a gateway with connections that do nothing.
LIMITED_CROWDS.forEach((name, index) => {
  test(`${LIMITED_CLIENTS} clients with ${name} keep within the limit of connections`, async () => {
    const tuning = `max_connections: ${MAX_CONNECTIONS}\nmax_open_bodies: ${MAX_OPEN_BODIES}\n`;
    const gateway = await startGateway(BASE_PORT + (CROWDS.length + 1 + index) * 10, tuning);
    const crowd = new BodyCrowd(gateway.process.callersAddress);
    cleanUps.push(() => crowd.close());
    const head = `POST /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: c\r\n`;
    const start =
      name === 'unfinished headers' ? `${head}X: y` : `${head}Content-Length: 9\r\n\r\nx`;
    await crowd.sendStart(LIMITED_CLIENTS, start);
    const res = await gateway.sendShort();
    assert.equal(res.status, 200);
    gateway.assertAlive();
    assert.ok(gateway.process.openDescriptors() <= MAX_CONNECTIONS + OWN_DESCRIPTORS);
  });
});

// Guards against tiny chunks that are queued while the response to their request waits for its turn.
test('requests that are refused behind one in flight hold no memory', async () => {
  const gateway = await startGateway(BASE_PORT + (CROWDS.length + 3) * 10);
  const crowd = new BodyCrowd(gateway.process.callersAddress);
  cleanUps.push(() => crowd.close());
  const first = `POST /held/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: a\r\nDeadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nx`;
  const refused = `POST /read/2 HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`;
  await crowd.sendStart(QUEUED_CLIENTS, first + refused + '1\r\nx\r\n'.repeat(QUEUED_CHUNKS));
  await wait(STALL_MS);
  gateway.assertAlive();
  assert.equal((await gateway.sendShort()).status, 200);
  gateway.assertWithinMemory();
});
