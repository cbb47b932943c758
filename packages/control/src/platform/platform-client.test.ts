import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakePlatform } from '../testing/fake-platform.js';
import { PlatformClient } from './platform-client.js';

/** Changes are in force within 6 s; a failed watch is repeated after a pause of 1 s. */
const MAX_WATCH_MS = 5000;

// Guards against a configuration that stays old for the length of a watch that has gone silent.
test('a watch of the configuration on a silent connection fails before a missed change is overdue', async (t) => {
  const platform = new FakePlatform();
  await platform.start();
  const ignore = (): void => undefined;
  const client = new PlatformClient({ config: platform.url, vms: platform.url }, ignore, ignore);
  t.after(() => {
    client.close();
    platform.close();
  });
  const overdue = AbortSignal.timeout(MAX_WATCH_MS);
  // The fake platform never responds to a watch without a change.
  const result = await client.watchConfig(platform.revision, overdue);
  assert.equal(result.kind, 'failed');
  assert.equal(overdue.aborted, false);
});
