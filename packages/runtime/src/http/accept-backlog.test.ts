import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AcceptBacklog } from './accept-backlog.js';

const nextPoll = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// Guards against waits of connections that no log line tells of.
test('a connection that each poll before it followed may have waited since the first one', async () => {
  let now = 1000;
  const backlog = new AcceptBacklog(() => now);
  const waits: number[] = [];
  await [1, 1, 3, 1].reduce(async (before, polls) => {
    await before;
    waits.push(backlog.onAccept());
    now += 100;
    await Array.from({ length: polls }).reduce<Promise<void>>(
      (previous) => previous.then(nextPoll),
      Promise.resolve(),
    );
  }, Promise.resolve());
  assert.deepEqual(waits, [0, 100, 200, 0]);
});

test('the wait starts anew once the backlog was emptied', async () => {
  let now = 1000;
  const backlog = new AcceptBacklog(() => now);
  backlog.onAccept();
  now += 500;
  assert.equal(backlog.waitMs, 500);
  backlog.onEmptied();
  assert.equal(backlog.waitMs, 0);
  assert.equal(backlog.onAccept(), 0);
  await nextPoll();
});
