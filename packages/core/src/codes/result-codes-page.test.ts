import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { resultCodesPage } from './result-codes-page.js';
import { ResultCodes, type ResultCode } from './result-codes.js';

test('docs/result-codes.md matches the table of result codes', async () => {
  // Guards against documentation that differs from the responses of the entries.
  const file = new URL('../../../../docs/result-codes.md', import.meta.url);
  const hint = 'run: node scripts/write-result-codes.js';
  assert.equal(await readFile(file, 'utf8'), resultCodesPage(), hint);
});

test('result codes have unique numbers and names', () => {
  // Guards against callers that confuse two outcomes.
  const codes = Object.values<ResultCode>(ResultCodes);
  assert.equal(new Set(codes.map(({ code }) => code)).size, codes.length);
  assert.equal(new Set(codes.map(({ name }) => name)).size, codes.length);
});
