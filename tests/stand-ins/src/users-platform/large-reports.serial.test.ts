import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { after, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { exampleConfig, MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { SmallGateway } from './small-gateway.js';

const BASE_PORT = 30_320;
const ENGINE_IP = '127.0.1.3';
const TARGETS = 60;
/** Reports may have up to 8 MiB. */
const REPORT_BYTES = 8_000_000;
/** Time in which a gateway asks all targets several times. */
const ASKED_MS = 8000;
/** Targets that report their start. */
const ENGINES = {
  name: MODEL_SERVICE,
  warmupS: 10,
  coldPerS: 1,
  engine: { slots: 8, kvCapacityTokens: 1e5 },
};

const gateway = new SmallGateway({ basePort: BASE_PORT });
const body = Buffer.alloc(REPORT_BYTES, ' ');
body.write(JSON.stringify({ queued: 0, inFlight: 0, kvUsed: 0, born: 1 }));
const head = `HTTP/1.1 200 OK\r\nContent-Length: ${REPORT_BYTES}\r\n\r\n`;
let reports = 0;
const sockets = new Set<net.Socket>();
const engines = net.createServer((socket) => {
  sockets.add(socket);
  socket.on('error', () => undefined);
  socket.on('data', () => {
    reports += 1;
    socket.write(head);
    socket.write(body);
  });
});

after(async () => {
  engines.close();
  sockets.forEach((socket) => socket.destroy());
  await gateway.close();
});

// Guards against reports of many targets that arrive at once and take up all memory.
test('large reports of many targets do not exhaust the memory', async () => {
  await gateway.start();
  engines.listen(BASE_PORT, ENGINE_IP);
  await once(engines, 'listening');
  const { store, target } = gateway;
  store.put('op/config', exampleConfig(4, { services: [ENGINES, { name: PLAIN_SERVICE }] }));
  const address = `${ENGINE_IP}:${BASE_PORT}`;
  Array.from({ length: TARGETS }).forEach((_, index) =>
    store.put(`servers/engine-${index}`, target.entry(MODEL_SERVICE, 'north-a', { address })),
  );
  await delay(ASKED_MS);
  assert.ok(reports >= TARGETS, `only ${reports} reports were asked for`);
  gateway.assertWithinMemory();
  assert.equal((await gateway.sendShort()).status, 200);
});
