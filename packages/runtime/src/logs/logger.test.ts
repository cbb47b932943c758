import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLogger, withFields } from './logger.js';

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

// Guards against lines that lack what explains them, or whose own fields are replaced by it.
test('fields are added to each line while there are some, and those of the line go first', () => {
  const lines: Record<string, unknown>[] = [];
  let delayMs = 0;
  const log = withFields(
    createLogger({
      level: 'info',
      format: 'json',
      name: 'gateway',
      sink: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
    }),
    () => (delayMs > 0 ? { delay_ms: delayMs, id: 'added' } : undefined),
  ).child('request');
  log.info('attempt', { id: 'own' });
  delayMs = 120;
  log.info('attempt', { id: 'own' });
  assert.deepEqual(
    lines.map(({ message, id, delay_ms: delay }) => [message, id, delay]),
    [
      ['[request] attempt', 'own', undefined],
      ['[request] attempt', 'own', 120],
    ],
  );
});
