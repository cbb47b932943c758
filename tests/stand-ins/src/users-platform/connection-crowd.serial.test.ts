import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { afterEach, test } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { sendRequest } from './client-request.js';
import { HOST, PortOffset } from './example-config.js';
import { SmallGateway, type SmallGatewayOptions } from './small-gateway.js';

const BASE_PORT = 30_200;
const DESCRIPTORS = 300;
const CLIENTS = 400;
/** Longer than a test, so that no connection is closed because it is slow or idle. */
const TIMEOUT_MS = 120_000;
const FORWARD_OFFSET = PortOffset.Internal + 1;
const METRICS_OFFSET = 8;

const REQUEST = `GET /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: a\r\nDeadline-Ms: 9000\r\n\r\n`;
const HELD_FORWARD =
  `POST /held/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: f\r\nDeadline-Ms: 20000\r\n` +
  'marjoramcart-forwarded-by: vm-2\r\nmarjoramcart-config: 3\r\nContent-Length: 1\r\n\r\nx';

const HELD = `POST /held/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: h\r\nDeadline-Ms: 20000\r\nContent-Length: 1\r\n\r\nx`;
/** They fit into the descriptors, but not with a connection to a target for each. */
const KEPT_CLIENTS = 170;
const GROUP = 10;

let cleanUps: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
  cleanUps = [];
});

type Limits = Pick<SmallGatewayOptions, 'maxFds' | 'descriptorLimit'>;

async function startGateway(index: number, limits: Limits): Promise<SmallGateway> {
  const gateway = new SmallGateway({
    basePort: BASE_PORT + index * 10,
    idleTimeoutMs: TIMEOUT_MS,
    headerTimeoutMs: TIMEOUT_MS,
    ...limits,
  });
  cleanUps.push(() => gateway.close());
  await gateway.start();
  return gateway;
}

function addressOf(gateway: SmallGateway, offset: number): string {
  const [host, port] = gateway.process.callersAddress.split(':');
  return `${host}:${Number(port) + offset}`;
}

function connect(address: string): net.Socket {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  cleanUps.push(() => {
    socket.destroy();
  });
  return socket;
}

/** Waits for an event, or until the connection is closed or reset. */
function untilClosedOr(socket: net.Socket, event: string): Promise<void> {
  return new Promise((resolve) => {
    socket.once(event, () => resolve());
    socket.once('close', () => resolve());
  });
}

/** Connects clients that send a text and stay; waits for their responses if there are any to come. */
async function sendCrowd(address: string, text: string): Promise<void> {
  await Promise.all(
    Array.from({ length: CLIENTS }, async () => {
      const socket = connect(address);
      await untilClosedOr(socket, 'connect');
      socket.write(text);
      if (text === REQUEST) await untilClosedOr(socket, 'data');
      else socket.resume();
    }),
  );
}

async function assertServes(gateway: SmallGateway): Promise<void> {
  gateway.assertAlive();
  assert.equal((await gateway.sendShort()).status, 200);
  const ready = await sendRequest(addressOf(gateway, PortOffset.Ready), { path: '/api/ready' });
  assert.equal(ready.status, 200);
  const metrics = await sendRequest(addressOf(gateway, METRICS_OFFSET), { path: '/metrics' });
  assert.equal(metrics.status, 200);
  const open = gateway.process.openDescriptors();
  assert.ok(open < DESCRIPTORS, `${open} open descriptors`);
  gateway.assertAlive();
}

const LIMITS: readonly { name: string; limits: Limits }[] = [
  { name: 'the settings of a machine', limits: { maxFds: DESCRIPTORS } },
  { name: 'a process', limits: { descriptorLimit: DESCRIPTORS } },
];
const CROWDS = [
  { name: 'idle connections', text: '' },
  { name: 'connections with half a head', text: REQUEST.slice(0, -4) },
  { name: 'connections that were served and are kept', text: REQUEST },
] as const;

// Guards against a crowd of connections that uses up the descriptors, so that new callers get no answer.
LIMITS.flatMap((limit) => CROWDS.map((crowd) => ({ limit, crowd }))).forEach(
  ({ limit, crowd }, index) => {
    test(`${CLIENTS} ${crowd.name} fit into the ${DESCRIPTORS} descriptors of ${limit.name}`, async () => {
      const gateway = await startGateway(index, limit.limits);
      await sendCrowd(gateway.process.callersAddress, crowd.text);
      await assertServes(gateway);
    });
  },
);

// Guards against a crowd at a listener that callers do not use, which leaves them no descriptors.
test('crowds at the other listeners leave descriptors to callers', async () => {
  const gateway = await startGateway(6, { descriptorLimit: DESCRIPTORS });
  const offsets = [...Object.values(PortOffset).slice(1, -1), FORWARD_OFFSET, METRICS_OFFSET];
  await offsets.reduce(async (before, offset) => {
    await before;
    await sendCrowd(addressOf(gateway, offset), '');
    await assertServes(gateway);
  }, Promise.resolve());
});

// Guards against a crowd of callers that closes the connections on which other gateways forward requests.
test('a crowd of callers closes no connection of another gateway', async () => {
  const gateway = await startGateway(7, { descriptorLimit: DESCRIPTORS });
  const forwards = [HELD_FORWARD, REQUEST].map((text) => {
    const socket = connect(addressOf(gateway, FORWARD_OFFSET));
    socket.write(text);
    return socket;
  });
  const [, kept] = forwards;
  assert.ok(kept);
  await once(kept, 'data');
  await sendCrowd(gateway.process.callersAddress, '');
  await assertServes(gateway);
  const open = forwards.map(({ readyState, destroyed }) => (destroyed ? 'closed' : readyState));
  assert.deepEqual(open, ['open', 'open']);
});

// Guards against requests for which no descriptors are left, so that targets count as unreachable.
test('callers that all send requests at once leave descriptors to connections to targets', async () => {
  const gateway = await startGateway(8, { descriptorLimit: DESCRIPTORS });
  const sockets = Array.from({ length: KEPT_CLIENTS }, () =>
    connect(gateway.process.callersAddress).resume(),
  );
  await Promise.all(sockets.map((socket) => untilClosedOr(socket, 'connect')));
  // Accepted before the first request is sent.
  assert.equal((await gateway.sendShort()).status, 200);
  // In groups, as idle connections are closed for requests that arrive one by one.
  await sockets.reduce(async (before, socket, index) => {
    await before;
    socket.write(HELD);
    if (index % GROUP === GROUP - 1) await setTimeout(0);
  }, Promise.resolve());
  await Promise.race(sockets.map((socket) => untilClosedOr(socket, 'data')));
  const open = gateway.process.openDescriptors();
  assert.ok(open < DESCRIPTORS, `${open} open descriptors`);
  const ready = await sendRequest(addressOf(gateway, PortOffset.Ready), { path: '/api/ready' });
  assert.equal(ready.status, 200);
  sockets.forEach((socket) => socket.destroy());
  await Promise.all(sockets.map((socket) => socket.closed || once(socket, 'close')));
  assert.equal((await gateway.sendShort()).status, 200);
  assert.ok(!gateway.process.log.includes('EMFILE'));
  gateway.assertAlive();
});
