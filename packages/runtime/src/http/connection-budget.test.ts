import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConnectionBudget } from './connection-budget.js';
import type { ConnectionHolder, ConnectionShare } from './connection-share.js';

/** Idle connections of a part, by the time since which each is idle. */
class IdleConnections implements ConnectionHolder {
  readonly since: number[] = [];

  constructor(private readonly share: ConnectionShare) {
    share.attach(this);
  }

  get longestIdleSince(): number | undefined {
    return this.since[0];
  }

  closeLongestIdle(): void {
    this.since.shift();
    this.share.release();
  }

  /** Opens connections that become idle one after the other; returns how many were admitted. */
  open(count: number, firstAt: number): number {
    return Array.from({ length: count }, (_, index) => firstAt + index).filter((at) => {
      const admitted = this.share.admit();
      if (admitted) this.since.push(at);
      return admitted;
    }).length;
  }
}

// Guards against parts of a process that open more connections together than it has descriptors.
test('the connection that has been idle longest makes room, unless it is a reserved one', () => {
  const budget = new ConnectionBudget(10);
  const callers = new IdleConnections(budget.share({ name: 'callers', reserved: 4 }));
  const forwards = new IdleConnections(budget.share({ name: 'forwards', reserved: 2 }));
  forwards.open(3, 0);
  callers.open(9, 10);
  assert.deepEqual(forwards.since, [1, 2]);
  assert.deepEqual(callers.since, [11, 12, 13, 14, 15, 16, 17, 18]);
  forwards.open(6, 20);
  assert.deepEqual(callers.since, [15, 16, 17, 18]);
  assert.deepEqual(budget.open, { callers: 4, forwards: 6 });
});

// Guards against connections that are closed while their requests are in flight.
test('a connection is refused while none of the others is idle', () => {
  const budget = new ConnectionBudget(10);
  const callers = budget.share({ name: 'callers', reserved: 4 });
  const forwards = budget.share({ name: 'forwards', reserved: 2, max: 3 });
  const admitted = Array.from({ length: 12 }, () => callers.admit()).filter(Boolean);
  assert.equal(admitted.length, 8);
  assert.deepEqual(
    Array.from({ length: 3 }, () => forwards.admit()),
    [true, true, false],
  );
});

// Guards against targets that can't be reached since idle callers have all descriptors.
test('connections that are opened make idle ones close, and are never refused', () => {
  const budget = new ConnectionBudget(10);
  const callers = new IdleConnections(budget.share({ name: 'callers', reserved: 4 }));
  const outgoing = budget.share({ name: 'outgoing', reserved: 1 });
  callers.open(9, 0);
  Array.from({ length: 8 }).forEach(() => outgoing.add());
  assert.deepEqual(callers.since, [5, 6, 7, 8]);
  assert.equal(outgoing.open, 8);
});

// Guards against calls for whose connections no descriptors are left.
test('calls start while the connections that they open have room, and idle ones close for them', () => {
  const budget = new ConnectionBudget(12);
  const callers = budget.share({ name: 'callers', reserved: 4, opensOthers: true });
  const outgoing = budget.share({ name: 'outgoing', reserved: 1 });
  budget.share({ name: 'ready', reserved: 2 });
  const idle = new IdleConnections(callers);
  idle.open(9, 0);
  const started = Array.from({ length: 9 }, () => outgoing.startCall()).filter(Boolean).length;
  assert.equal(started, 6);
  assert.equal(callers.open, 4);
  Array.from({ length: started }).forEach(() => outgoing.add());
  assert.deepEqual(budget.open, { callers: 4, outgoing: 6, ready: 0 });
  outgoing.release();
  assert.equal(outgoing.startCall(), false);
  outgoing.endCall();
  assert.equal(outgoing.startCall(), true);
});
