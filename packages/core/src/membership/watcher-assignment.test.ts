import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WatcherAssignment } from './watcher-assignment.js';

const GATEWAYS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
const STEP_MS = 100;

/** Simulates a region in which watching gateways that reach the service update the others. */
function simulate(canReach: (node: string, now: number) => boolean, untilMs: number): string[][] {
  const assignments = new Map(GATEWAYS.map((node) => [node, new WatcherAssignment(node, 0)]));
  return Array.from({ length: untilMs / STEP_MS }, (_, step) => {
    const now = step * STEP_MS;
    const watching = GATEWAYS.filter((node) => assignments.get(node)?.shouldWatch(GATEWAYS, now));
    watching
      .filter((node) => canReach(node, now))
      .forEach((node) => assignments.forEach((assignment) => assignment.onUpdate(node, 0, now)));
    return watching;
  });
}

test('two gateways of a region watch the service', () => {
  simulate(() => true, 10_000).forEach((watching) => assert.equal(watching.length, 2));
});

// Guards against a region without updates while the service refuses only the watching gateways.
test('when the service refuses the watching gateways, another one takes over within 4 s and at most four watch', () => {
  const first = new Set(simulate(() => true, STEP_MS)[0]);
  const watching = simulate((node, now) => now < 2000 || !first.has(node), 10_000);
  const at = watching.findIndex((nodes) => nodes.some((node) => !first.has(node)));
  assert.ok(at * STEP_MS <= 4000, `${at * STEP_MS} ms`);
  assert.ok(Math.max(...watching.map((nodes) => nodes.length)) <= 4);
});

test('when no gateway reaches the service, all start to watch one after the other', () => {
  const watching = simulate(() => false, 14_000);
  assert.equal(watching.at(-1)?.length, GATEWAYS.length);
  watching.slice(1).forEach((nodes, index) => {
    assert.ok(nodes.length - (watching[index]?.length ?? 0) <= 1);
  });
});

test('additional watchers stop when the service is reachable again', () => {
  const watching = simulate((_, now) => now < 2000 || now > 8000, 20_000);
  assert.equal(watching.at(-1)?.length, 2);
});
