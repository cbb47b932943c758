import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine } from './line-fit.js';

test('a line through collinear points has their slope and no residual', () => {
  // Guards against a wrong formula; every figure in docs/CAPACITY.md depends on it.
  const fit = fitLine([1, 2, 4, 8].map((x) => ({ x, y: 3 * x + 5 })));
  assert.ok(Math.abs(fit.slope - 3) < 1e-9 && Math.abs(fit.intercept - 5) < 1e-9);
  assert.ok(fit.residual < 1e-9 && Math.abs(fit.bend) < 1e-9);
});

test('growth faster than linear shows in the residual and the bend', () => {
  // Guards against quadratic growth that a line fitted to small sizes would hide.
  const fit = fitLine([1, 2, 4, 8].map((x) => ({ x, y: x * x })));
  assert.ok(fit.residual > 1 && fit.bend > 0.4);
});
