import { after, test } from 'node:test';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { SmallGateway } from './small-gateway.js';
import { StoreMode } from './store.js';

/** Time in which a gateway reads hundreds of pages. */
const LISTED_MS = 10_000;
const MIN_PAGES = 300;

const gateway = new SmallGateway({ basePort: 30_330 });

after(() => gateway.close());

// Guards against a list in many pages that is held as a whole and takes up all memory.
test('a list with page after page of other entries does not exhaust the memory', async () => {
  const { store, process } = gateway;
  store.setMode(process.storeAddress, StoreMode.EndlessLists);
  const started = gateway.start();
  await delay(LISTED_MS);
  gateway.assertWithinMemory();
  assert.ok(store.calls >= MIN_PAGES, `only ${store.calls} pages were read`);
  store.setMode(process.storeAddress, StoreMode.Serves);
  // What was listed lacks the entries of the fleet, so the gateway has to list again.
  store.put('other/key', 'value');
  store.compact();
  await started;
  gateway.assertWithinMemory();
});
