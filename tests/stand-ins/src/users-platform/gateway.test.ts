import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';
import { MODEL_SERVICE, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './rig.js';
import { TargetMode, type TargetStandIn } from './target.js';

const PROMPT = {
  model: 'm',
  'token-count': '800,40',
  'prompt-prefix': 'aa:500,bb:300',
};

const rig = new TestFleet(24_100);
let model: TargetStandIn[];
let plain: TargetStandIn[];

before(async () => {
  await rig.start();
  model = [
    await rig.addTarget(1, MODEL_SERVICE, 'north-a'),
    await rig.addTarget(2, MODEL_SERVICE, 'north-a'),
  ];
  plain = [
    await rig.addTarget(3, PLAIN_SERVICE, 'north-a'),
    await rig.addTarget(4, PLAIN_SERVICE, 'west-a'),
  ];
  await rig.addGateway(1, 'north-a');
  await rig.addGateway(2, 'west-a');
  await rig.until(() => rig.isReady('vm-1'));
  await rig.until(async () => (await rig.directory('vm-1', 'west')).length === 1);
  // Work of the other region is known with the next gossip.
  await rig.until(async () => (await rig.send('vm-1', { path: '/bound/x' })).status === 200);
});

afterEach(() => {
  [...model, ...plain].forEach((target) => {
    Object.assign(target, { mode: TargetMode.Good });
    target.runs.splice(0);
  });
});

after(() => rig.stop());

function runs(): number {
  return [...model, ...plain].reduce((sum, target) => sum + target.runs.length, 0);
}

test('passes a request and its answer on unchanged, without what only the system may set', async () => {
  const answer = await rig.send('vm-1', {
    path: '/once/a?b=c',
    id: 'id-x',
    body: 'book it',
    headers: {
      'x-mine': 'kept',
      hold: 'h-1',
      'kv-from': '1.2.3.4:1/x',
      'expect-instance': 'i-9',
    },
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'i-3 ran id-x');
  assert.equal(answer.headers['response-signature'], 'i-3.id-x');
  const [run] = plain[0]?.runs ?? [];
  assert.equal(run?.path, '/once/a?b=c');
  assert.equal(run.body, 'book it');
  assert.equal(run.headers['x-mine'], 'kept');
  assert.equal(run.headers.hold, undefined);
  assert.equal(run.headers['kv-from'], undefined);
  assert.equal(run.headers['expect-instance'], 'i-3');
  assert.ok(Number(run.headers['deadline-ms']) <= 3000);
});

test('answers 404 without a route and 503 in no such case', async () => {
  assert.equal((await rig.send('vm-1', { path: '/nowhere/' })).status, 404);
  assert.equal((await rig.send('vm-1', { path: '/read/x', host: 'other.example' })).status, 404);
  assert.equal(runs(), 0);
});

test('refuses headers and bodies over the limits', async () => {
  const body = 'x'.repeat(70_000);
  assert.equal((await rig.send('vm-1', { path: '/once/a', body })).status, 413);
  const headers = { 'x-long': 'x'.repeat(5000) };
  assert.equal((await rig.send('vm-1', { path: '/read/a', headers })).status, 431);
  assert.equal(runs(), 0);
});

test('sends a request bound to another region there, and nowhere else', async () => {
  const answer = await rig.send('vm-1', { path: '/bound/x', id: 'id-b' });
  assert.equal(answer.body, 'i-4 ran id-b');
  assert.equal(answer.headers['marjoramcart-attempts'], undefined);
});

[TargetMode.Resets, TargetMode.ForeignResponse, TargetMode.Unsigned, TargetMode.Unframed].forEach(
  (mode) =>
    test(`runs a request once that may not be repeated, and promises nothing: ${mode}`, async () => {
      plain.forEach((target) => Object.assign(target, { mode }));
      const answer = await rig.send('vm-1', { path: '/once/x', body: 'book' });
      assert.equal(answer.status, 502);
      assert.equal(answer.headers['retry-after'], undefined);
      assert.equal(runs(), 1);
    }),
);

test('says that a request was not run only when all targets rejected it', async () => {
  plain.forEach((target) => Object.assign(target, { mode: TargetMode.Sheds }));
  const answer = await rig.send('vm-1', { path: '/once/x', body: 'book' });
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(runs(), 0);
});

test('repeats a repeatable request, at most as often as its route allows', async () => {
  plain.forEach((target) => Object.assign(target, { mode: TargetMode.Fails }));
  const answer = await rig.send('vm-1', { path: '/read/x' });
  assert.equal(answer.status, 500);
  assert.match(String(answer.headers['response-signature']), /^i-/);
  assert.equal(runs(), 2);
});

test('goes on with a resumable stream at another target, each event once', async () => {
  const broken = { path: '/stream/x', body: 'ask', headers: PROMPT };
  // The first request finds the target that holds the prompt.
  await rig.send('vm-1', broken);
  const first = model.find(({ runs: own }) => own.length > 0) as TargetStandIn;
  first.mode = TargetMode.BreaksStream;
  const answer = await rig.send('vm-1', broken);
  assert.equal(answer.status, 200);
  assert.ok(answer.complete);
  const ids = [...answer.body.matchAll(/id: (\d+)\ndata: event \1\n\n/g)].map(([, id]) => id);
  assert.deepEqual(ids, ['1', '2', '3', '4', '5', '6']);
  assert.equal(answer.body.length, ids.length * 'id: 1\ndata: event 1\n\n'.length);
});

test('cancels the request at the target when the client leaves', async () => {
  plain.forEach((target) => Object.assign(target, { mode: TargetMode.Silent }));
  await assert.rejects(rig.send('vm-1', { path: '/once/x', body: 'b', abortAfterMs: 100 }));
  await rig.until(() => plain.some((target) => target.runs[0]?.cancelled === true));
});

test('stops using a target that drains, and goes to another region without one', async () => {
  const [north] = plain;
  const entry = north?.entry(PLAIN_SERVICE, 'north-a', { state: 'draining' });
  rig.store.put('servers/i-3', entry);
  await rig.until(async () =>
    (await rig.send('vm-1', { path: '/once/x', body: 'b' })).body.startsWith('i-4'),
  );
  rig.store.put('servers/i-3', north?.entry(PLAIN_SERVICE, 'north-a'));
  await rig.until(async () =>
    (await rig.send('vm-1', { path: '/once/x', body: 'b' })).body.startsWith('i-3'),
  );
});

test('keeps targets when the history is compacted and ignores entries that it can not read', async () => {
  rig.store.compact();
  rig.store.put('servers/i-8', 'not json');
  rig.store.put('servers/i-9', { service: PLAIN_SERVICE, address: 'nowhere', zone: 'north-a' });
  rig.store.put('op/config', exampleConfig(4));
  await rig.until(() => rig.gateway('vm-1').state.config?.version === 4);
  assert.equal((await rig.send('vm-1', { path: '/read/x' })).status, 200);
});

test('never goes back to an older configuration', async () => {
  const { state } = rig.gateway('vm-1');
  const known = state.config?.version ?? 0;
  rig.store.put('op/config', exampleConfig(known - 1, { routes: [] }));
  rig.store.put('servers/i-7', 'a later change');
  await rig.until(() => state.revision > 10);
  assert.equal(state.config?.version, known);
  assert.equal((await rig.send('vm-1', { path: '/read/x' })).status, 200);
  rig.store.put('op/config', exampleConfig(known + 1));
  // Later tests compare versions, so no change may be under way.
  await rig.until(() => state.config?.version === known + 1);
});

test('a gateway that the store turns away gets the state from another one', async () => {
  const { state } = rig.gateway('vm-1');
  const known = state.config?.version ?? 0;
  await rig.kill('vm-2');
  rig.store.failureStatus = 503;
  await rig.addGateway(3, 'north-a');
  await rig.until(() => rig.isReady('vm-3'));
  assert.equal(rig.gateway('vm-3').state.config?.version, known);
  rig.store.failureStatus = undefined;
  await rig.addGateway(2, 'west-a');
  await rig.until(() => rig.isReady('vm-2'));
});

test('leaves the directory at once when it stops, and serves what still arrives', async () => {
  await rig.until(async () => (await rig.directory('vm-1', 'north')).length === 2);
  const stopping = rig.shutDown('vm-3');
  await rig.until(async () => (await rig.directory('vm-1', 'north')).length === 1, 1000);
  assert.equal(await rig.isReady('vm-3'), false);
  const answer = await rig.send('vm-3', { path: '/once/x', body: 'late' });
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.connection, 'close');
  await stopping;
});
