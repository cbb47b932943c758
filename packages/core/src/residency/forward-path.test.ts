import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkForward, type ForwardHop } from './forward-path.js';

function hop(bootId: string, failureDomain: string, region: string): ForwardHop {
  return { bootId, failureDomain, region };
}

const a = hop('a', 'north-1', 'north');
const b = hop('b', 'north-2', 'north');
const west = hop('w', 'west-1', 'west');
const central = hop('z', 'central-1', 'central');
const ALL = ['north', 'west', 'central'];

test('a request is not forwarded in a loop or a third time', () => {
  // Guards against forwarding loops between failure domains.
  assert.equal(checkForward([a], b, 'load', ALL), undefined);
  assert.equal(checkForward([a, b], a, 'key', ALL)?.kind, 'loop');
  assert.equal(checkForward([a], hop('c', 'north-1', 'north'), 'load', ALL)?.kind, 'loop');
  assert.equal(checkForward([a], hop('c', 'north-1', 'north'), 'key', ALL), undefined);
  assert.equal(checkForward([a, b, west], central, 'load', ALL)?.kind, 'too-many-forwards');
});

test('a request crosses regions only once and only into allowed ones', () => {
  // Guards against data leaving the regions in which it may be processed.
  assert.equal(checkForward([a, west], central, 'load', ALL)?.kind, 'second-region-crossing');
  assert.equal(checkForward([a], west, 'load', ['north'])?.kind, 'region-not-allowed');
});
