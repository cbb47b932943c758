import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WatcherAssignment } from './watch-duty.js';

const GATEWAYS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
const STEP_MS = 100;

/** Plays a region in which gateways that watch and can reach the service tell the others. */
function play(canReach: (node: string, now: number) => boolean, untilMs: number): string[][] {
  const duties = new Map(GATEWAYS.map((node) => [node, new WatcherAssignment(node, 0)]));
  return Array.from({ length: untilMs / STEP_MS }, (_, step) => {
    const now = step * STEP_MS;
    const watching = GATEWAYS.filter((node) => duties.get(node)?.shouldWatch(GATEWAYS, now));
    watching
      .filter((node) => canReach(node, now))
      .forEach((node) => duties.forEach((duty) => duty.onUpdate(node, now)));
    return watching;
  });
}

test('two gateways of a region watch', () => {
  play(() => true, 10_000).forEach((watching) => assert.equal(watching.length, 2));
});

// Pattern: the service turns some gateways away and serves the others.
test('another gateway watches soon after those that watch are turned away, and few do', () => {
  const first = new Set(play(() => true, STEP_MS)[0]);
  const watching = play((node, now) => now < 2000 || !first.has(node), 10_000);
  const at = watching.findIndex((nodes) => nodes.some((node) => !first.has(node)));
  assert.ok(at * STEP_MS <= 4000, `${at * STEP_MS} ms`);
  assert.ok(Math.max(...watching.map((nodes) => nodes.length)) <= 4);
});

test('all watch in the end when none can reach the service, one after the other', () => {
  const watching = play(() => false, 14_000);
  assert.equal(watching.at(-1)?.length, GATEWAYS.length);
  watching.slice(1).forEach((nodes, index) => {
    assert.ok(nodes.length - (watching[index]?.length ?? 0) <= 1);
  });
});

test('those that stepped in stop when the service is back', () => {
  const watching = play((_, now) => now < 2000 || now > 8000, 20_000);
  assert.equal(watching.at(-1)?.length, 2);
});
