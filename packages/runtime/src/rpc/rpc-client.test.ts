import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpListener } from '../http/listener.js';
import { silentLogger } from '../logs/logger.js';
import { MessageAuthenticator, SENDER_HEADER } from './authentication.js';
import { RpcClient } from './rpc-client.js';
import { RpcServer } from './rpc-server.js';

const SECRET = 'a-shared-fleet-secret';

test('a daemon of an earlier release, which needs the sender header, is called with that header', async () => {
  // Guards against daemons of two releases refusing each other's messages during an upgrade.
  const server = new RpcServer(new MessageAuthenticator(SECRET, Date.now), silentLogger());
  server.method('vms.fetch', () => ({}));
  const refused = { count: 0 };
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (req, res) => {
      if (req.headers[SENDER_HEADER] !== undefined) return server.handle(req, res);
      refused.count += 1;
      req.resume();
      res.writeHead(401).end();
      return undefined;
    },
    onError: () => {},
  });
  await listener.listen();
  const client = new RpcClient(new MessageAuthenticator(SECRET, Date.now), 'boot-1');
  const call = () => client.call(listener.address, 'vms.fetch', { from: {} as never, version: 0 });
  assert.deepEqual(await call(), { kind: 'ok', value: {} });
  assert.deepEqual(await call(), { kind: 'ok', value: {} });
  assert.equal(refused.count, 1);
  client.close();
  await listener.close();
});
