import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { resultCodesPage } from './result-codes-page.js';
import { ResultCodes, type ResultCode } from './result-codes.js';

test('docs/result-codes.md is equal to the table in the code', async () => {
  // Guards against a page that tells callers something else than the entries answer.
  const file = new URL('../../../../docs/result-codes.md', import.meta.url);
  const hint = 'run: node scripts/write-result-codes.js';
  assert.equal(await readFile(file, 'utf8'), resultCodesPage(), hint);
});

test('no two result codes have the same number or name', () => {
  // Guards against callers that take one outcome for another.
  const codes = Object.values<ResultCode>(ResultCodes);
  assert.equal(new Set(codes.map(({ code }) => code)).size, codes.length);
  assert.equal(new Set(codes.map(({ name }) => name)).size, codes.length);
});
