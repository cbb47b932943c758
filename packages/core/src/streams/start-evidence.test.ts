import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartEvidence } from './start-evidence.js';

// Guards against an old word about a start that is taken for a word about the process which answers now (ORDER).
test('a start is proved only on connections that were opened before it was last known to run', () => {
  const evidence = new StartEvidence();
  assert.equal(evidence.proves(0), false);
  evidence.onRan(1000);
  assert.equal(evidence.proves(1000), true);
  assert.equal(evidence.proves(1001), false);
  evidence.onRan(900);
  assert.equal(evidence.proves(1000), true);
});
