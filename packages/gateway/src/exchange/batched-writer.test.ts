import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { BatchedWriter } from './batched-writer.js';
import type { CallerResponse } from './caller-response.js';

/** Connection that counts how often it was paused and resumed. */
class FakeSocket {
  readonly calls: string[] = [];

  pause(): void {
    this.calls.push('pause');
  }

  resume(): void {
    this.calls.push('resume');
  }
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// Guards against streams of tiny events whose reader stalls: each event was a write or a queued piece.
test('pieces of one read are written together, and a slow caller stops the reading', async () => {
  const socket = new FakeSocket();
  const res = Object.assign(new EventEmitter(), { socket, complete: false, destroyed: false });
  const writes: string[] = [];
  let drain = (): void => undefined;
  const response = {
    write: (chunk: Buffer) => {
      writes.push(chunk.toString());
      return false;
    },
    onDrain: (fn: () => void) => {
      drain = fn;
    },
  };
  const writer = new BatchedWriter(
    res as unknown as IncomingMessage,
    response as unknown as CallerResponse,
  );
  ['a', 'b', 'c'].forEach((piece) => writer.write(Buffer.from(piece)));
  await nextTurn();
  writer.write(Buffer.from('d'));
  writer.flush();
  await nextTurn();
  assert.deepEqual(writes, ['abc', 'd']);
  assert.deepEqual(socket.calls, ['pause']);
  drain();
  assert.deepEqual(socket.calls, ['pause', 'resume']);
});
