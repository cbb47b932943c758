import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { StreamSource } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import type { AttemptOptions } from './attempt-runner.js';
import type { CallProgress } from './call-progress.js';
import { DestinationSender, type AttemptStep, type SenderDeps } from './destination-sender.js';

const BODY_BYTES = 1024 * 1024;
const MAX_COLLECTIONS = 50;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

async function assertCollected(ref: WeakRef<object>, left = MAX_COLLECTIONS): Promise<void> {
  collectGarbage();
  if (ref.deref() === undefined) return;
  assert.ok(left > 0, 'still referenced');
  await delay(1);
  await assertCollected(ref, left - 1);
}

// Guards against streams whose version is not known yet, which keep their request bodies in memory until it is.
test('what confirms the version of a stream later does not hold its request', async () => {
  const ignore = (): undefined => undefined;
  const entry = {
    id: 'i-1',
    record: { address: 'a:1', softwareVersion: 'v1' },
    work: { onSend: ignore, onEnd: ignore, onOutcome: ignore },
    isDoubted: () => true,
  };
  const sources: StreamSource[] = [];
  const runner = {
    run: ({ streamSource }: AttemptOptions) => {
      sources.push(streamSource({} as IncomingMessage, 0));
      return Promise.resolve({ kind: 'streamed' });
    },
  };
  const deps = {
    state: { target: () => entry },
    router: { onSendToTarget: ignore, speeds: { onOutcome: ignore } },
    crashes: { onSend: ignore, onAnswered: ignore },
    protocol: { targetHeaders: () => [] },
    starts: { canProve: () => true, proves: () => false, onUse: ignore },
    streams: { isMixed: () => true },
    timers: new ManualTimerService(),
    runner,
  } as unknown as SenderDeps;
  const sender = new DestinationSender(deps, { allowsRetry: () => false });
  const step = { candidate: { destination: { kind: 'target', id: 'i-1' } } };
  const sendOne = async (): Promise<WeakRef<object>> => {
    const body = Buffer.allocUnsafeSlow(BODY_BYTES);
    const call = { head: { id: 'r-1' }, body, facts: { kind: 'stream', deadlineAt: 1000 } };
    const response = { disconnected: false, onDisconnect: ignore };
    const progress = { call, response, scope: { kind: 'any' }, attempts: [] };
    await sender.send(step as AttemptStep, progress as unknown as CallProgress);
    return new WeakRef(body);
  };
  const ref = await sendOne();
  assert.deepEqual(sources[0]?.check?.(), { kind: 'pending' });
  await assertCollected(ref);
  assert.deepEqual(sources[0]?.check?.(), { kind: 'pending' });
});
