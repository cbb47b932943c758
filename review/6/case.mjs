/** A part of the prompt crashes each runner that begins to write an answer on it. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  Gateway,
  HOST,
  Recorder,
  Runner,
  Store,
  configOf,
  modelService,
  newId,
  route,
  send,
  sleep,
} from '../lib-2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const trouble = process.env.TROUBLE !== '0';
const DEADLY = 'dead0001';
const EVENTS = 6;
const FIRST_MS = 40;
const GAP_MS = 30;
const BACK_MS = 2000;
const STABILITY_MS = 6000;
const record = new Recorder();
const store = new Store();
const zones = { 'north-a': 'eu-north' };
const crashes = [];
const deadlyRuns = [];

function answer({ runner, req, res, requestId, common }) {
  const isDeadly = String(req.headers['prompt-prefix']).includes(`${DEADLY}:`);
  if (isDeadly) deadlyRuns.push(Date.now());
  record.add(`run ${requestId} at ${runner.id}${isDeadly ? ' with the part' : ''}`);
  let id = Number(req.headers['last-event-id'] ?? 0);
  let timer;
  res.on('close', () => clearTimeout(timer));
  const next = () => {
    if (runner.down) return;
    id += 1;
    if (id === Number(req.headers['last-event-id'] ?? 0) + 1) {
      res.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' });
    }
    if (trouble && isDeadly) {
      // It begins to write its answer, and crashes.
      res.write(`id: ${id}\nda`, () => crash(runner, requestId));
    } else if (id > EVENTS) res.end();
    else {
      res.write(`id: ${id}\ndata: ${'x'.repeat(50)}\n\n`);
      timer = setTimeout(next, GAP_MS);
    }
  };
  timer = setTimeout(next, FIRST_MS);
}

function crash(runner, requestId) {
  if (runner.down) return;
  crashes.push(Date.now());
  record.add(`${runner.id} crashes on ${requestId}`);
  runner.crash();
  setTimeout(() => {
    runner.start().catch((err) => record.add(String(err)));
  }, BACK_MS);
}

const runners = [1, 2, 3, 4].map(
  (n) => new Runner(store, { n, id: `i-${n}`, service: 'llm', zone: 'north-a', answer }),
);
const gateway = new Gateway(store, { n: 1, zone: 'north-a', zones });

/** @param part shared part of the prompt after the one that all requests share */
async function ask(part, counts) {
  const id = newId();
  const { status, complete } = await send(gateway.front, {
    method: 'POST',
    path: '/ask/1',
    body: id.repeat(40),
    headers: {
      Host: HOST,
      'Request-Id': id,
      'Deadline-Ms': 4000,
      Model: 'm',
      'Token-Count': '700,60',
      'Prompt-Prefix': `a0a0a0a0:200,${part}:200,${id}:300`,
    },
  });
  const isGood = status === 200 && complete;
  counts.set(isGood ? 'good' : status, (counts.get(isGood ? 'good' : status) ?? 0) + 1);
  record.add(`answer ${id} ${part} ${status}${complete ? '' : ' incomplete'}`);
}

let code = 2;
try {
  await store.listen();
  store.put(
    'op/config',
    configOf(
      7,
      [route('ask', 'streaming', 'llm', { resumable: true, maxAttempts: 2, timeoutMs: 4000 })],
      [modelService('llm')],
    ),
  );
  await Promise.all(runners.map((runner) => runner.start()));
  await gateway.start();
  await gateway.untilReady();
  await sleep(STABILITY_MS + 1500);
  record.add('requests begin');
  const sound = new Map();
  const deadly = new Map();
  const until = Date.now() + 30000;
  const sent = [];
  for (let n = 0; Date.now() < until; n += 1) {
    sent.push(ask(`b${n % 5}b0b0b0`, sound));
    if (n % 4 === 0) sent.push(ask(DEADLY, deadly));
    // eslint-disable-next-line no-await-in-loop
    await sleep(150);
  }
  await Promise.all(sent);
  const fifth = crashes[4];
  const late =
    fifth === undefined ? 0 : deadlyRuns.filter((at) => at > fifth + STABILITY_MS).length;
  record.add(
    `crashes: ${crashes.length}; fifth at ${fifth === undefined ? '-' : fifth - record.startedAt}`,
  );
  record.add(
    `requests with the part: ${deadlyRuns.length} reached runners, ${late} of them later than ${STABILITY_MS} ms after the fifth crash (at most 3 are allowed)`,
  );
  record.add(`answers to sound requests: ${JSON.stringify(Object.fromEntries(sound))}`);
  record.add(`answers to requests with the part: ${JSON.stringify(Object.fromEntries(deadly))}`);
  if (trouble && crashes.length < 5) throw new Error('fewer than five crashes');
  code = late > 3 ? 1 : 0;
} catch (err) {
  record.add(String(err.stack));
} finally {
  await record.write(folder);
  await gateway.close();
  runners.forEach((runner) => runner.close());
  store.close();
}
process.exitCode = code;
