import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MessageAuthenticator } from './authentication.js';

const message = { path: '/rpc', sender: 'boot-1', content: '{}' };

test('a signed message is accepted once and its replay is refused', () => {
  // Guards against a recorded message being sent again by a sender without the secret.
  const auth = new MessageAuthenticator('a-shared-fleet-secret', () => 1000);
  const header = auth.sign(message);
  assert.deepEqual(auth.verify(header, message), { kind: 'accepted' });
  assert.deepEqual(auth.verify(header, message), {
    kind: 'refused',
    failure: { kind: 'replayed' },
  });
});

test('the short base64url signature is verified like the hexadecimal one', () => {
  const auth = new MessageAuthenticator('a-shared-fleet-secret', () => 1000);
  const other = new MessageAuthenticator('another-fleet-secret-', () => 1000);
  const header = auth.sign(message, 'base64url');
  assert.ok(header.length < auth.sign(message).length - 25);
  assert.equal(auth.verify(header.slice(0, -2), message).kind, 'refused');
  assert.equal(auth.verify(other.sign(message, 'base64url'), message).kind, 'refused');
  assert.equal(auth.verify(header, { ...message, content: '{"x":1}' }).kind, 'refused');
  assert.deepEqual(auth.verify(header, message), { kind: 'accepted' });
});

test('a message with a changed body, a wrong secret or too large a clock skew is refused', () => {
  const auth = new MessageAuthenticator('a-shared-fleet-secret', () => 100_000);
  const other = new MessageAuthenticator('another-fleet-secret-', () => 100_000);
  const late = new MessageAuthenticator('a-shared-fleet-secret', () => 10_000);
  const kindOf = (header: string, content: string): string => {
    const result = auth.verify(header, { ...message, content });
    return result.kind === 'refused' ? result.failure.kind : result.kind;
  };
  assert.equal(kindOf(auth.sign(message), '{"x":1}'), 'wrong-signature');
  assert.equal(kindOf(other.sign(message), '{}'), 'wrong-signature');
  assert.equal(kindOf(late.sign(message), '{}'), 'skew');
});
