import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestVersionFetcher } from './newest-fetch.js';

interface Pending {
  readonly address: string;
  readonly end: (version: number) => void;
}

function setup(): { fetch: NewestVersionFetcher; pending: Pending[]; clock: { ms: number; held: number } } {
  const clock = { ms: 0, held: 0 };
  const pending: Pending[] = [];
  const fetch = new NewestVersionFetcher({
    currentVersion: () => clock.held,
    now: () => clock.ms,
    fetch: (address) =>
      new Promise((resolve) => {
        const end = (version: number): void => {
          clock.held = Math.max(clock.held, version);
          resolve();
        };
        pending.push({ address, end });
      }),
  });
  return { fetch, pending, clock };
}

test('one of many holders is asked, and the next one only if it did not bring the newest', async () => {
  // Guards against a daemon that starts and gets the whole configuration from every peer.
  const { fetch, pending } = setup();
  ['a', 'b', 'c'].forEach((address) => fetch.offer(address, 5, 'own-domain'));
  fetch.offer('d', 6, 'other-domain');
  assert.deepEqual(
    pending.map(({ address }) => address),
    ['a'],
  );
  const settled = fetch.settled();
  pending[0]?.end(5);
  await new Promise(setImmediate);
  pending[1]?.end(6);
  await settled;
  assert.deepEqual(
    pending.map(({ address }) => address),
    ['a', 'd'],
  );
});

test('a holder that does not answer keeps the others waiting for half a second', () => {
  // Guards against a partitioned peer that delays a change until its fetch times out.
  const { fetch, pending, clock } = setup();
  fetch.offer('silent', 5, 'own-domain');
  fetch.offer('b', 5, 'own-domain');
  clock.ms = 600;
  fetch.offer('c', 5, 'own-domain');
  assert.equal(pending.length, 2);
});
