import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSoak } from './run-soak.js';

const FAULTS_MS = 8000;
const BASE_PORT = 26_200;

/** Seeds that once violated a guarantee, with the cause, and one that never did. */
const SEEDS: readonly (readonly [number, string])[] = [[20261, 'a first seed']];

SEEDS.forEach(([seed, cause]) =>
  test(`a fleet keeps its guarantees under random faults: seed ${seed} (${cause})`, async () => {
    const { violations, requests } = await runSoak({
      seed,
      faultsMs: FAULTS_MS,
      basePort: BASE_PORT,
    });
    assert.deepEqual(violations, []);
    assert.ok(requests > 100, String(requests));
  }),
);
