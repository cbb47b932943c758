import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { sendRequest } from './client-request.js';
import { CrashMoment, TargetStandIn } from './target.js';

const ADDRESS = '127.0.0.1:28950';
const ID = 'i-1';
const RESTARTED_MS = 400;
const REQUESTS = 3;

let target: TargetStandIn;

beforeEach(async () => {
  target = new TargetStandIn(ID, ADDRESS, true);
  await target.listen();
});

afterEach(() => target.close());

async function sendAll(): Promise<void> {
  const req = { path: '/stream/x', headers: { 'expect-instance': ID } };
  await Promise.all(
    Array.from({ length: REQUESTS }, () => sendRequest(ADDRESS, req).catch(() => undefined)),
  );
}

// Guards against a stand-in that starts twice after requests that crash it at the same time, so that
// files of tests fail whose tests all pass.
Object.values(CrashMoment).forEach((crashMoment) =>
  test(`a target that several requests crash at once starts again: ${crashMoment}`, async () => {
    const errors: unknown[] = [];
    const onError = (err: unknown): void => {
      errors.push(err);
    };
    process.on('unhandledRejection', onError);
    Object.assign(target, { crashesOn: () => true, crashMoment, breaksAfter: 1 });
    await sendAll();
    await new Promise((resolve) => {
      setTimeout(resolve, RESTARTED_MS);
    });
    process.off('unhandledRejection', onError);
    assert.deepEqual(errors, []);
    target.crashesOn = () => false;
    const { status } = await sendRequest(ADDRESS, {
      path: '/stream/x',
      headers: { 'expect-instance': ID },
    });
    assert.equal(status, 200);
  }),
);
