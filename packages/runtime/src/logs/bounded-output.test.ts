import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedOutput } from './bounded-output.js';

test('a stalled reader delays lines without reordering them, and lines beyond the limit are dropped', () => {
  const written: string[] = [];
  let release = (): void => undefined;
  const output = new BoundedOutput((bytes, done) => {
    written.push(bytes.toString());
    release = () => done(null);
  });
  output.add('first');
  output.flush();
  Array.from({ length: 400 }).forEach(() => output.add('x'.repeat(1000)));
  output.flush();
  assert.deepEqual(written, ['first\n']);
  assert.ok(output.dropped > 100 && output.dropped < 400);
  release();
  assert.equal(written.length, 2);
});
