import assert from 'node:assert/strict';
import { HOST } from './example-config.js';
import { idsOf, sendStream, STREAM_PATH, takeUp } from './stream-client.js';
import { StreamFleetTests } from './stream-fleet-tests.js';
import { CrashMoment, TargetMode } from './target.js';

const NORTH = 'north-a';
const WEST = 'west-a';
const ALL_IDS = [1, 2, 3, 4, 5, 6];
const STREAMS = 3;

const tests = new StreamFleetTests(31_800, [NORTH, WEST]);

// Guards against streams of which callers have all events and never get the end, as an engine that has
// nothing to add counts as broken off (LOST).
tests.add('a stream whose end was lost is completed within its response', async (fleet) => {
  const [first] = await fleet.addEngines(1, ['v1', 'v1'], NORTH);
  await fleet.untilMayResume('vm-1');
  Object.assign(first ?? {}, { crashesOn: () => true, crashMoment: CrashMoment.BeforeEnd });
  const parts = await Promise.all(
    Array.from({ length: 2 * STREAMS }, () => sendStream(fleet, 'vm-1')),
  );
  assert.ok((first?.runs.length ?? 0) > 0);
  parts.forEach((part) => {
    assert.deepEqual(idsOf([part]), ALL_IDS);
    assert.equal(part.complete, true);
  });
});

['vm-1', 'vm-2'].forEach((node) => {
  tests.add(
    `a take-up at ${node} after the last event is answered by the engine`,
    async (fleet) => {
      await fleet.addEngines(1, ['v1', 'v1'], NORTH);
      await fleet.untilServed('vm-1');
      if (node === 'vm-2') await fleet.untilServed('vm-2');
      const begun = await sendStream(fleet, node);
      const taken = await takeUp(fleet, node, [begun]);
      assert.equal(taken.status, 200);
      assert.equal(taken.complete, true);
      const { headers } = await fleet.send(node, {
        path: STREAM_PATH,
        body: `ask ${begun.requestId}`,
        headers: { host: HOST, 'last-event-id': '6', resumes: begun.requestId },
      });
      assert.match(String(headers['response-signature']), /^i-/);
    },
  );
});

// Guards against taking an engine that ends before its first event for one that has nothing to add.
tests.add('a stream that breaks off before its first event is not complete', async (fleet) => {
  const [first] = await fleet.addEngines(1, ['v1'], NORTH);
  await fleet.untilMayResume('vm-1');
  const begun = await sendStream(fleet, 'vm-1', { abortAfterEvents: 2 });
  Object.assign(first ?? {}, { mode: TargetMode.BreaksStream, breaksAfter: 0 });
  const taken = await takeUp(fleet, 'vm-1', [begun]);
  assert.notEqual(taken.status, 200);
});

await tests.run('streams that are taken up after their last event');
