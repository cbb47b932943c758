import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { BodyPacer, PacerLimits } from './body-pacer.js';

const STALLED = 59;
const READS = 20;

interface PacedBody {
  readonly msg: IncomingMessage;
  /** Reads of its connection that the pacer allowed. */
  turns: number;
}

/** A body in one-byte chunks which has been held, and whose connection has as many more reads. */
function pacedBody(pacer: BodyPacer, reads: number): PacedBody {
  const body = { turns: 0 };
  const socket = { pause: () => undefined, resume: () => undefined };
  const msg = { complete: false, destroyed: false, socket } as unknown as IncomingMessage;
  const onPiece = (): void => pacer.onPiece(msg, PacerLimits.FreePieces + 1, 0);
  socket.resume = () => {
    body.turns += 1;
    if (body.turns <= reads) process.nextTick(onPiece);
  };
  onPiece();
  return Object.assign(body, { msg });
}

async function turnsOfEventLoop(count: number): Promise<void> {
  await Array.from({ length: count }).reduce<Promise<void>>(
    (before) => before.then(() => nextTurn()),
    Promise.resolve(),
  );
}

// Guards against a body in tiny chunks that takes many seconds beside stalled ones, as each of its reads
// waits for the turns of all of them.
test('the turns of stalled bodies do not delay a body that has more to read', async (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const pacer = new BodyPacer();
  const stalled = Array.from({ length: STALLED }, () => pacedBody(pacer, 0));
  const body = pacedBody(pacer, READS);
  await turnsOfEventLoop(3 * (STALLED + READS));
  assert.ok(body.turns >= READS, `${body.turns} of ${READS} reads`);
  // Those that stalled are read again later.
  const before = stalled.map(({ turns }) => turns);
  t.mock.timers.tick(1000);
  await turnsOfEventLoop(3 * STALLED);
  assert.ok(stalled.every(({ turns }, index) => turns > (before[index] ?? 0)));
  [body, ...stalled].forEach(({ msg }) => pacer.remove(msg));
  assert.equal(pacer.size, 0);
});

// Guards against stalled bodies in tiny chunks that stay open for 60 s, as if the process did not read them.
test('a body that has nothing to read does not count as waiting, one that has does', async (t) => {
  const clock = { now: 0 };
  t.mock.timers.enable({ apis: ['setTimeout'] });
  t.mock.method(performance, 'now', () => clock.now);
  const pacer = new BodyPacer();
  const stalled = pacedBody(pacer, 0);
  const busy = Array.from({ length: 5 }, () => pacedBody(pacer, Infinity));
  const steps = Array.from({ length: 200 }, () => async () => {
    clock.now += 50;
    t.mock.timers.tick(50);
    await nextTurn();
  });
  await steps.reduce<Promise<void>>((before, step) => before.then(step), Promise.resolve());
  assert.ok(pacer.waitedMs(stalled.msg) < clock.now / 2);
  busy.forEach(({ msg }) => assert.ok(pacer.waitedMs(msg) > clock.now / 2));
  [stalled, ...busy].forEach(({ msg }) => pacer.remove(msg));
});
