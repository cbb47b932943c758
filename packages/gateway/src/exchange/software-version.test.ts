import assert from 'node:assert/strict';
import { validateHeaderValue } from 'node:http';
import { test } from 'node:test';
import { VERSION_HEADER, decodeText, encodeText } from './caller-response.js';

// Guards against a gateway that ends because an entry has a version that can't be part of a header.
test('a version of any text fits into a header and is the same after it', () => {
  ['v1.2', 'v2 β', ' v3 ', 'a\nb', 'x%'].forEach((version) => {
    validateHeaderValue(VERSION_HEADER, encodeText(version));
    assert.equal(decodeText(encodeText(version)), version);
  });
  assert.equal(decodeText('%'), undefined);
  assert.equal(decodeText(undefined), undefined);
});
