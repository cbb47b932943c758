import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteKind, seededRandom } from '@marjoramcart/core';
import { BodyMemory, ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { SharedRequest } from '../sharing/capacity-sharing.js';
import type { Call } from './call.js';
import type { CallerResponse } from './caller-response.js';
import { RequestExecutor, type ExecutorDeps } from './request-executor.js';

const RETRY_AFTER_MS = 400;
const MAX_SPREAD = 1.6;

interface Sent {
  readonly status: number;
  readonly headers: readonly string[];
}

/** Runs a call for which no destination may be looked for. */
async function runCall(shared: SharedRequest): Promise<Sent[]> {
  const timers = new ManualTimerService();
  const sent: Sent[] = [];
  const executor = new RequestExecutor({
    settings: { retryBudget: { windows: [] }, regionOfDomain: new Map() },
    gossip: { roster: { isComplete: () => false } },
    streams: { scopeOf: () => Promise.resolve({ kind: 'any' }) },
    sharing: { start: () => shared },
    router: {},
    crashes: { onRequest: () => undefined },
    state: { revision: 0, sourceAgeMs: 0 },
    timers,
    random: seededRandom(1),
    metrics: new GatewayMetrics(new Metrics(), timers),
    log: silentLogger(),
    responseMemory: new BodyMemory(1000),
    outgoing: { startCall: () => true, endCall: () => undefined },
  } as unknown as ExecutorDeps);
  const call = {
    head: { id: 'a' },
    route: { name: 'r', kind: RouteKind.Single },
    service: 'chat',
    facts: { arrivedAt: 0, deadlineAt: 2000 },
    forwardedBy: 'test',
    configVersion: 1,
  } as unknown as Call;
  const response = {
    closed: Promise.resolve(),
    setRuns: () => undefined,
    setRunState: () => undefined,
    send: (status: number, headers: readonly string[]) => sent.push({ status, headers }),
  } as unknown as CallerResponse;
  await executor.run(call, response);
  return sent;
}

test('a request above the share of its customer gets 503 and a retry time, before any attempt', async () => {
  const refusal = {
    kind: 'refuse',
    retryAfterMs: RETRY_AFTER_MS,
    passedShare: 0.5,
    asked: 10,
    given: 5,
  } as const;
  const [sent, ...more] = await runCall({
    refusal,
    onAttempt: () => assert.fail('attempted'),
    onOverload: () => assert.fail('counted twice'),
  });
  assert.equal(more.length, 0);
  assert.equal(sent?.status, 503);
  const valueOf = (name: string): string | undefined =>
    sent?.headers[sent.headers.indexOf(name) + 1];
  const retryAfterMs = Number(valueOf('Retry-After')) * 1000;
  assert.ok(retryAfterMs >= RETRY_AFTER_MS && retryAfterMs <= RETRY_AFTER_MS * MAX_SPREAD);
  assert.equal(valueOf('marjoramcart-run'), 'not_run');
});
