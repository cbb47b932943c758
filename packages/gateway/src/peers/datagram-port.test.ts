import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UdpPort } from './datagram-port.js';

// Guards against a gateway that ends with an error because it sends news while it shuts down.
test('a datagram that is sent after the port was closed is lost without an error', async () => {
  const errors: Error[] = [];
  const port = new UdpPort('127.0.0.1', 27_900, (err) => errors.push(err));
  await port.open(() => undefined);
  await port.close();
  port.send(Buffer.from('news'), '127.0.0.1');
  assert.deepEqual(errors, []);
});
