/** Tests of the fleet launcher, with stand-ins only: fault injection and ending all processes. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import http from 'node:http';
import { createInterface } from 'node:readline';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expectedResponseText } from '../engine/chat-completion.js';
import { Fleet, type FleetSpec } from './fleet.js';
import { request, requestJson } from './http-client.js';
import { startTimeOf } from './process-table.js';
import { waitFor } from './wait.js';

const TIMEOUT_MS = 5000;
const spec: FleetSpec = {
  name: 'launcher-test',
  domains: [
    { name: 'north-1', region: 'north', entryVms: 1, engines: 1, plain: { booking: 1 } },
    { name: 'west-1', region: 'west', entryVms: 1 },
  ],
  config: { 'config/main': { format: 1 } },
  proxyTargets: true,
  withoutDaemons: true,
  engineArgs: ['--models', 'm:1', '--token-ms', '5'],
};
const CHAT = {
  model: 'm',
  max_tokens: 20,
  stream: true,
  messages: [{ role: 'user', content: 'marker:t-1' }],
};

let fleet: Fleet;
before(async () => {
  fleet = await Fleet.start(spec);
});
after(() => fleet.stop());

function engineThroughProxy(): string {
  const engine = fleet.target('north-1-engine-1');
  return fleet.dialAddressOf('north-1', engine.address);
}

/** Reads a stream until it ends or breaks. */
async function readStream(url: string, headers: Record<string, string>, body?: object) {
  const method = body ? 'POST' : 'GET';
  const req = http.request(url, { method, headers, agent: false });
  req.on('error', () => {});
  req.end(body && JSON.stringify(body));
  const [res] = (await once(req, 'response')) as [http.IncomingMessage];
  const chunks: string[] = [];
  res.setEncoding('utf8').on('data', (chunk: string) => chunks.push(chunk));
  res.on('error', () => {});
  await new Promise((resolve) => {
    res.on('close', resolve);
  });
  const events = chunks.join('').split('\n\n').slice(0, -1);
  return { id: String(res.headers['stream-id']), complete: res.complete, events };
}

function textOf(events: readonly string[]): string {
  return events
    .map((event) => event.replace(/^id: \d+\ndata: /, ''))
    .filter((data) => data !== '[DONE]')
    .map((data) => JSON.parse(data) as { choices: [{ delta: { content?: string } }] })
    .map(({ choices: [choice] }) => choice.delta.content ?? '')
    .join('');
}

test('a stream resumed after a connection reset loses and repeats no token', async () => {
  const address = engineThroughProxy();
  await fleet.setFaults({ from: 'north-1', to: 'north-1-engine-1' }, { reset_after: 1500 });
  const url = `http://${address}/v1`;
  const first = await readStream(`${url}/chat/completions`, {}, CHAT);
  assert.equal(first.complete, false);
  await fleet.setFaults({ from: 'north-1', to: 'north-1-engine-1' }, { reset_after: 0 });
  const lastId = String(first.events.length);
  const rest = await readStream(`${url}/streams/${first.id}`, { 'last-event-id': lastId });
  const events = [...first.events, ...rest.events];
  assert.equal(rest.complete, true);
  assert.equal(events.at(-1), `id: ${events.length}\ndata: [DONE]`);
  assert.equal(textOf(events), expectedResponseText(CHAT));
  assert.equal(fleet.runs('north-1-engine-1').filter(({ event }) => event === 'started').length, 1);
});

test('a cut link direction delays bytes until the cut ends and loses none', async () => {
  const address = fleet.dialAddressOf('west-1', fleet.layout.platform.address);
  await fleet.setFlow({ from: 'platform', to: 'west-1' }, { cut: true });
  const pending: { responded: boolean } = { responded: false };
  const response = requestJson('GET', `http://${address}/v1/range?prefix=config/&after=0`).then(
    (body) => {
      pending.responded = true;
      return body as { revision: number };
    },
  );
  const calls = await waitFor(
    'the platform has the request',
    async () => {
      const counted = await fleet.platformCalls();
      return (counted.range ?? 0) > 0 && counted;
    },
    TIMEOUT_MS,
  );
  assert.equal(calls.total, 1);
  assert.equal(pending.responded, false);
  await fleet.setFlow({ from: 'platform', to: 'west-1' }, { cut: false });
  assert.equal((await response).revision, 1);
});

test('a pending watch counts as one call and returns when a value is published', async () => {
  const earlier = await fleet.platformCalls();
  const { address } = fleet.layout.platform;
  const watch = request('GET', `http://${address}/v1/watch?prefix=config/&after=1&wait_ms=9000`);
  await waitFor(
    'the watch is pending',
    async () => (await fleet.platformCalls()).pending_watches === 1,
    TIMEOUT_MS,
  );
  const revision = await fleet.publish('config/customers-a', { format: 1, customers: [] });
  assert.deepEqual(JSON.parse((await watch).text), { revision });
  const later = await fleet.platformCalls();
  assert.equal((later.total ?? 0) - (earlier.total ?? 0), 1);
});

test('a booking service that drops its response has run the request once', async () => {
  const { address } = fleet.target('north-1-booking-1');
  await fleet.setTarget('north-1-booking-1', { lose_answers: true });
  await assert.rejects(request('POST', `http://${address}/slots`, 'marker:lost'));
  await fleet.setTarget('north-1-booking-1', { lose_answers: false });
  const runs = fleet.runs('north-1-booking-1').filter(({ marker }) => marker === 'lost');
  assert.deepEqual(
    runs.map(({ event }) => event),
    ['started', 'finished'],
  );
});

test('all processes of a fleet end when the program that started them is killed', async () => {
  const library = fileURLToPath(new URL('fleet.js', import.meta.url));
  const script = `
    const { Fleet } = await import(${JSON.stringify(library)});
    const fleet = await Fleet.start(${JSON.stringify({ ...spec, name: 'orphan-test' })});
    fleet.process('platform').freeze();
    console.log(fleet.processes.map(({ pid }) => pid).join(' '));
  `;
  const parent = spawn(process.execPath, ['--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(createInterface({ input: parent.stdout }), 'line')) as [string];
  const started = line.split(' ').map(Number);
  assert.equal(started.length, 4);
  assert.ok(started.every((pid) => startTimeOf(pid) !== undefined));
  parent.kill('SIGKILL');
  await waitFor(
    'all processes have ended',
    () => started.every((pid) => startTimeOf(pid) === undefined),
    TIMEOUT_MS,
  );
});
