import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { BodyCrowd } from './body-crowd.js';
import { HOST } from './example-config.js';
import { SmallGateway } from './small-gateway.js';

const BASE_PORT = 30_280;
const CLIENTS = 60;
const CHUNKS = 200_000;
/** Descriptors of a gateway besides the connections of the crowd. */
const OWN_DESCRIPTORS = 100;
/** Ports of the ready check, the directory and metrics, from the base port. */
const REQUESTS = [
  { offset: 1, line: 'GET /api/ready' },
  { offset: 2, line: `GET /api/resolve?name=${HOST}` },
  { offset: 8, line: 'GET /healthz' },
] as const;
const POLL_MS = 500;
const MAX_POLLS = 40;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

let cleanUps: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
  cleanUps = [];
});

/** Waits until the gateway has closed connections; fails if too many stay open. */
async function untilClosed(gateway: SmallGateway, pollsLeft = MAX_POLLS): Promise<void> {
  gateway.assertAlive();
  const open = gateway.process.openDescriptors();
  if (open <= OWN_DESCRIPTORS) return;
  assert.ok(pollsLeft > 0, `${open} open descriptors`);
  await wait(POLL_MS);
  await untilClosed(gateway, pollsLeft - 1);
}

// Guards against bodies in tiny chunks to listeners that need none, which take up the processor.
test('bodies that listeners do not need leave a gateway alive and serving', async () => {
  const gateway = new SmallGateway({ basePort: BASE_PORT });
  cleanUps.push(() => gateway.close());
  await gateway.start();
  REQUESTS.forEach(({ offset, line }) => {
    const crowd = new BodyCrowd(`127.0.0.1:${BASE_PORT + offset}`);
    cleanUps.push(() => crowd.close());
    const head = `${line} HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`;
    void crowd.sendStart(CLIENTS, head + '1\r\nx\r\n'.repeat(CHUNKS));
  });
  await wait(POLL_MS);
  assert.equal((await gateway.sendShort()).status, 200);
  await untilClosed(gateway);
  gateway.assertWithinMemory();
});
