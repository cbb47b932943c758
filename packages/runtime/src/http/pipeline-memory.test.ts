import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { test } from 'node:test';
import { PipelineMemory, PipelineMemoryLimits } from './pipeline-memory.js';

const HEAD_BYTES = 1024 * 1024;

// Guards against room that is lost for ever, or given back twice, when connections close before their responses.
test('what waits is given back with its response or its connection, once', () => {
  const memory = new PipelineMemory();
  const socket = Object.assign(new EventEmitter(), { closed: false });
  const rawHeaders = ['x', 'y'.repeat(HEAD_BYTES)];
  const req = { socket, rawHeaders, url: '/' } as unknown as IncomingMessage;
  const responses = Array.from({ length: 3 }, () => new EventEmitter() as ServerResponse);
  responses.forEach((res) => memory.add(req, res));
  const { OverheadBytes, TextOverheadBytes } = PipelineMemoryLimits;
  const each = HEAD_BYTES + 2 + OverheadBytes + 2 * TextOverheadBytes;
  assert.equal(memory.heldBytes, 3 * each);
  responses[0]?.emit('close');
  assert.equal(memory.heldBytes, 2 * each);
  while (memory.hasRoom(req)) memory.add(req, new EventEmitter() as ServerResponse);
  assert.ok(memory.heldBytes <= PipelineMemoryLimits.MaxBytes);
  const dropped = Array.from({ length: 6 }, () => memory.addDropped(req));
  assert.equal(dropped[0], true);
  assert.equal(dropped.at(-1), false);
  socket.emit('close');
  assert.equal(memory.heldBytes, 0);
  responses[1]?.emit('close');
  assert.equal(memory.heldBytes, 0);
});
