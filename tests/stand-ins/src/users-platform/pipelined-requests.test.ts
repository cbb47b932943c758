import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { after, beforeEach, afterEach, before, test } from 'node:test';
import { HOST, MODEL_SERVICE, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './test-fleet.js';
import { TargetMode, type TargetStandIn } from './target.js';

const BASE_PORT = 22_000;
const WORK_MS = 1800;
const PAUSE_MS = 50;
/** More than the configuration allows. */
const BODY_BYTES = 100_000;

const fleet = new TestFleet(BASE_PORT);
let target: TargetStandIn;
let engine: TargetStandIn;
let socket: net.Socket;
let closed: Promise<unknown>;
let received: string;

before(async () => {
  await fleet.start();
  const route = {
    prefix: '/stream/',
    name: 'stream',
    host: HOST,
    kind: 'streaming',
    maxAttempts: 1,
  };
  const stream = { ...route, service: MODEL_SERVICE, timeoutMs: 3000, targetLatencyMs: 800 };
  const { routes } = exampleConfig(4) as { routes: { name: string }[] };
  const others = routes.filter(({ name }) => name !== 'stream');
  fleet.store.put('op/config', exampleConfig(4, { routes: [stream, ...others] }));
  engine = await fleet.addTarget(2, MODEL_SERVICE, 'north-a');
  engine.eventIntervalMs = 50;
  target = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  target.workMs = ({ path }) => (path === '/read/slow' ? WORK_MS : 0);
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'north-a');
  await fleet.until(async () => (await fleet.directory('vm-1', 'north')).length === 2);
  await fleet.until(() => fleet.gateway('vm-1').state.usableTargets(PLAIN_SERVICE).length === 1);
  await fleet.until(() => fleet.gateway('vm-1').state.usableTargets(MODEL_SERVICE).length === 1);
});

after(() => fleet.stop());

beforeEach(() => {
  target.runs.length = 0;
  received = '';
  socket = net.connect({ host: '127.0.0.1', port: BASE_PORT, noDelay: true });
  closed = once(socket, 'close');
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
});

afterEach(() => {
  socket.destroy();
});

function pause(ms = PAUSE_MS): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Head of a request without the empty line at its end. */
function head(method: string, path: string): string {
  return `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: id-${path}\r\nDeadline-Ms: 3000\r\n`;
}

async function ask(path: string): Promise<void> {
  socket.write(`${head('GET', path)}\r\n`);
  await pause();
}

function statuses(): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '');
}

// Guards against clients that take an error response for that of an earlier request.
test('the error response to invalid HTTP follows the response to the request before it', async () => {
  await ask('/read/slow');
  socket.write('invalid\r\n\r\n');
  await closed;
  assert.deepEqual(statuses(), ['200', '400']);
});

// Guards against a request that is passed on behind one that asks to close their connection.
test('only the response to a request that asks for the close is sent before it', async () => {
  socket.write(`${head('GET', '/read/slow')}Connection: close\r\n\r\n`);
  await ask('/read/1');
  await closed;
  assert.deepEqual(statuses(), ['200']);
  assert.equal(target.runs.length, 1);
});

// Guards against a request that is passed on after its client was told that it came too late.
test('a request whose head is too slow is refused after the request before it, and not run', async () => {
  await ask('/read/slow');
  socket.write(head('GET', '/read/late'));
  await fleet.until(() => statuses().length === 2);
  socket.write('\r\n');
  await closed;
  assert.deepEqual(statuses(), ['200', '408']);
  assert.deepEqual(
    target.runs.map(({ path }) => path),
    ['/read/slow'],
  );
});

// Guards against a refused body that closes the connection before the response to an earlier request.
test('a body is refused after the response to the request before it', async () => {
  await ask('/read/slow');
  socket.write(`${head('POST', '/once/1')}Content-Length: ${BODY_BYTES}\r\n\r\nstart of the body`);
  await closed;
  assert.deepEqual(statuses(), ['200', '413']);
});

// Guards against a request that keeps its target busy after its caller has left, as a refused body behind it is not read.
test('a request ends with its caller also while a body behind it is refused', async () => {
  await ask('/read/slow');
  const start = 'x'.repeat(BODY_BYTES - 1);
  socket.write(`${head('POST', '/once/1')}Content-Length: ${BODY_BYTES}\r\n\r\n${start}`);
  await pause();
  socket.destroy();
  await fleet.until(() => target.runs.some(({ cancelled }) => cancelled));
});

// Guards against an interrupted stream that cuts the response to a request that was passed on.
test('a request behind a stream is passed on when the stream has ended', async () => {
  const pathsRun = (): string[] => target.runs.map(({ path }) => path);
  await ask('/stream/1');
  await ask('/read/1');
  assert.deepEqual(pathsRun(), []);
  await fleet.until(() => statuses().length === 2);
  assert.deepEqual(pathsRun(), ['/read/1']);
  engine.mode = TargetMode.BreaksStream;
  await ask('/stream/2');
  await ask('/read/2');
  await closed;
  await pause();
  assert.deepEqual(statuses(), ['200', '200', '200']);
  assert.deepEqual(pathsRun(), ['/read/1']);
});

// Guards against a stop that cuts the responses to requests that were sent behind another one.
test('requests that were sent before an earlier one was answered are answered at a stop', async () => {
  const stopped = fleet.shutDown('vm-1');
  await ask('/read/slow');
  await ask('/read/1');
  await ask('/read/2');
  await closed;
  assert.deepEqual(statuses(), ['200', '200', '200']);
  assert.equal(target.runs.length, 3);
  await stopped;
});
