import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serve } from '../testing/fake-server.js';
import { TargetClient } from './target-client.js';

test('a load report of another form counts as a failed probe', async () => {
  // Guards against a target with a faulty report that is taken for ready.
  const server = await serve((_req, res) => res.end('{"sequence":"x"}'));
  const client = new TargetClient();
  assert.equal((await client.load(server.address)).kind, 'failed');
  client.close();
  server.close();
});

test('a refused order brings the number that the engine reports', async () => {
  const server = await serve((_req, res) => res.writeHead(409).end('{"highest_fencing":13001}'));
  const client = new TargetClient();
  assert.deepEqual(await client.order(server.address, { fencing: 12_001 }), {
    kind: 'refused',
    status: 409,
    body: { highest_fencing: 13_001 },
  });
  client.close();
  server.close();
});
