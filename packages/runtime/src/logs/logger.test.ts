import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLogger } from './logger.js';

test('a field named "message" does not replace the message of the line', (t) => {
  // Guards against losing the message of a line to a field of the same name, as it was lost when a
  // rejected configuration was logged with its error in `message`.
  const write = t.mock.method(process.stderr, 'write', () => true);
  const log = createLogger({ level: 'info', format: 'json', name: 'control' });
  log.child('config').warn('configuration rejected', { message: 'main:1:1', revision: 2 });
  const line = JSON.parse(String(write.mock.calls[0]?.arguments[0])) as Record<string, unknown>;
  write.mock.restore();
  assert.equal(line.message, '[config] configuration rejected');
  assert.equal(line.revision, 2);
});
