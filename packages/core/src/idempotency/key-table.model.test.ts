import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explore, type Actions } from '../testing/explore.js';
import { parseIdempotencyKey, type IdempotencyKey } from './idempotency-key.js';
import { KeyTable, type KeyOutcome } from './key-table.js';

const DEPTH = 14;
const MAX_REQUESTS = 3;
const START_WALL_MS = 1_800_000_000_000;
const LIFETIME_MS = 60_000;
const KEY_TEXT = `${'a'.repeat(20)}-abcdef.${(START_WALL_MS + LIFETIME_MS) / 1000}.nonce-01`;
const key = parseIdempotencyKey(KEY_TEXT) as IdempotencyKey;

/**
 * One key at the entry that owns it, a second entry that forwards its request, and a target that
 * counts runs.
 */
class KeyModel {
  readonly table = new KeyTable<string>({ maxKeys: 8, maxBytes: 1_000_000 });

  wallMs = START_WALL_MS;

  dispatcher: 'none' | 'ready' | 'connecting' | 'running' = 'none';

  runs = 0;

  reportedNotRun = false;

  forward: 'none' | 'in-flight' | 'arrived' = 'none';

  requests = 0;

  /** A repeated request was refused with not_run although the first one had run or could still run. */
  refusedWithEarlierRun = false;

  requestReachesOwner(): boolean {
    if (this.requests >= MAX_REQUESTS) return false;
    this.requests += 1;
    this.claim();
    return true;
  }

  forwardToOwner(): boolean {
    if (this.forward !== 'none') return false;
    this.forward = 'in-flight';
    return true;
  }

  forwardArrives(): boolean {
    if (this.forward !== 'in-flight') return false;
    this.forward = 'arrived';
    this.claim();
    return true;
  }

  cancelFromOtherEntry(): boolean {
    if (this.forward === 'none') return false;
    const result = this.table.cancel(key, 'crew', this.wallMs);
    if (result === 'cancelled') this.reportedNotRun = true;
    return true;
  }

  markSent(): boolean {
    if (this.dispatcher !== 'ready' || !this.table.markSent(KEY_TEXT, this.wallMs)) return false;
    this.dispatcher = 'connecting';
    return true;
  }

  connectFails(): boolean {
    if (this.dispatcher !== 'connecting') return false;
    this.table.markUnsent(KEY_TEXT);
    this.dispatcher = 'ready';
    return true;
  }

  targetRuns(): boolean {
    if (this.dispatcher !== 'connecting') return false;
    this.runs += 1;
    this.dispatcher = 'running';
    return true;
  }

  end(outcome: KeyOutcome<string>): boolean {
    if (this.dispatcher !== 'running') return false;
    this.table.finish(KEY_TEXT, outcome);
    this.dispatcher = 'none';
    return true;
  }

  deadlinePasses(): boolean {
    if (this.dispatcher !== 'ready') return false;
    if (this.table.revoke(KEY_TEXT)) this.reportedNotRun = true;
    this.dispatcher = 'none';
    return true;
  }

  keyExpires(): boolean {
    if (this.wallMs > START_WALL_MS) return false;
    this.wallMs += LIFETIME_MS;
    return true;
  }

  removeExpiredKeys(): boolean {
    const before = this.table.size;
    this.table.removeExpired(this.wallMs);
    return this.table.size !== before;
  }

  /** The owner refuses a repeated request before the claim, for example when its service is removed. */
  refuseRepeatedRequest(): boolean {
    const revoked = this.table.stateOf(KEY_TEXT) === 'revoked';
    const mayRun = this.runs > 0 || (this.dispatcher !== 'none' && !revoked);
    if (!this.table.mayHaveRun(key, this.wallMs)) this.refusedWithEarlierRun ||= mayRun;
    return true;
  }

  private claim(): void {
    const claim = this.table.claim(key, 'crew', 'digest', this.wallMs);
    if (claim.kind === 'new') this.dispatcher = 'ready';
    if (claim.kind === 'settled' && claim.outcome.kind === 'not-run') this.reportedNotRun = true;
  }
}

const actions: Actions<KeyModel> = {
  'request reaches the owner': (model) => model.requestReachesOwner(),
  'other entry forwards the request': (model) => model.forwardToOwner(),
  'forwarded request arrives': (model) => model.forwardArrives(),
  'other entry cancels': (model) => model.cancelFromOtherEntry(),
  'owner marks the request as sent': (model) => model.markSent(),
  'connection fails': (model) => model.connectFails(),
  'target runs the request': (model) => model.targetRuns(),
  'response arrives': (model) => model.end({ kind: 'answer', answer: 'booked', bytes: 6 }),
  'response is lost': (model) => model.end({ kind: 'unknown' }),
  'deadline passes at the owner': (model) => model.deadlinePasses(),
  'owner refuses a repeated request before the claim': (model) => model.refuseRepeatedRequest(),
  'key expires': (model) => model.keyExpires(),
  'owner removes expired keys': (model) => model.removeExpiredKeys(),
};

test('no sequence of events runs a request twice or reports not_run for one that ran', () => {
  // Guards against a second run after a repeated or forwarded request, a cancel, an expiry or a lost
  // response.
  const result = explore<KeyModel>({
    create: () => new KeyModel(),
    actions,
    depth: DEPTH,
    violation: ({ runs, reportedNotRun, refusedWithEarlierRun }) => {
      if (refusedWithEarlierRun)
        return 'a repeated request was refused with not_run, but the first one may run';
      if (runs > 1) return `the request ran ${runs} times`;
      return runs > 0 && reportedNotRun ? 'not_run was reported for a request that ran' : undefined;
    },
    fingerprint: (model) =>
      JSON.stringify([
        model.table.stateOf(KEY_TEXT),
        model.wallMs,
        model.dispatcher,
        model.runs,
        model.reportedNotRun,
        model.forward,
        model.requests,
      ]),
  });
  assert.deepEqual(result, { kind: 'holds', states: result.kind === 'holds' ? result.states : 0 });
});
