import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serve } from '../testing/fake-server.js';
import { TargetClient } from './target-client.js';

test('an invalid load report counts as a failed probe', async () => {
  // Guards against a target that counts as ready although its report is invalid.
  const server = await serve((_req, res) => res.end('{"sequence":"x"}'));
  const client = new TargetClient();
  assert.equal((await client.readLoadReport(server.address)).kind, 'failed');
  client.close();
  server.close();
});

test('a refused order returns the highest fencing number of the engine', async () => {
  const server = await serve((_req, res) => res.writeHead(409).end('{"highest_fencing":13001}'));
  const client = new TargetClient();
  assert.deepEqual(await client.sendOrder(server.address, { fencing: 12_001 }), {
    kind: 'refused',
    status: 409,
    body: { highest_fencing: 13_001 },
  });
  client.close();
  server.close();
});
