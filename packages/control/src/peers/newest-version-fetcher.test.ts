import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestVersionFetcher } from './newest-version-fetcher.js';

interface Pending {
  readonly address: string;
  readonly end: (version: number) => void;
}

function setup(): {
  fetcher: NewestVersionFetcher;
  pending: Pending[];
  clock: { ms: number; version: number };
} {
  const clock = { ms: 0, version: 0 };
  const pending: Pending[] = [];
  const fetcher = new NewestVersionFetcher({
    currentVersion: () => clock.version,
    now: () => clock.ms,
    fetch: (address) =>
      new Promise((resolve) => {
        const end = (version: number): void => {
          clock.version = Math.max(clock.version, version);
          resolve();
        };
        pending.push({ address, end });
      }),
  });
  return { fetcher, pending, clock };
}

test('one peer is asked at a time, and the next one only if the newest version is still missing', async () => {
  // Guards against a starting daemon that fetches the whole configuration from every peer.
  const { fetcher, pending } = setup();
  ['a', 'b', 'c'].forEach((address) => fetcher.offer(address, 5, 'own-domain'));
  fetcher.offer('d', 6, 'other-domain');
  assert.deepEqual(
    pending.map(({ address }) => address),
    ['a'],
  );
  const settled = fetcher.settled();
  pending[0]?.end(5);
  await new Promise(setImmediate);
  pending[1]?.end(6);
  await settled;
  assert.deepEqual(
    pending.map(({ address }) => address),
    ['a', 'd'],
  );
});

test('a peer that does not respond delays a fetch from another peer by half a second only', () => {
  // Guards against a partitioned peer that delays a change until the fetch times out.
  const { fetcher, pending, clock } = setup();
  fetcher.offer('silent', 5, 'own-domain');
  fetcher.offer('b', 5, 'own-domain');
  clock.ms = 600;
  fetcher.offer('c', 5, 'own-domain');
  assert.equal(pending.length, 2);
});
