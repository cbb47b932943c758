import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explore, type Actions } from '../testing/explore.js';
import { parseIdempotencyKey, type IdempotencyKey } from './idempotency-key.js';
import { KeyTable, type KeyOutcome } from './key-table.js';

const DEPTH = 14;
const MAX_RESENDS = 3;
const START_WALL_MS = 1_800_000_000_000;
const LIFETIME_MS = 60_000;
const KEY_TEXT = `${'a'.repeat(20)}-abcdef.${(START_WALL_MS + LIFETIME_MS) / 1000}.nonce-01`;
const key = parseIdempotencyKey(KEY_TEXT) as IdempotencyKey;

/** One key at its owner, a second entry that hands it over, and a target that counts runs. */
class KeyModel {
  readonly table = new KeyTable<string>({ maxKeys: 8, maxBytes: 1_000_000 });

  wallMs = START_WALL_MS;

  dispatcher: 'none' | 'ready' | 'connecting' | 'running' = 'none';

  runs = 0;

  saidNotRun = false;

  forward: 'none' | 'in-flight' | 'arrived' = 'none';

  resends = 0;

  /** A refusal said not_run of a re-send whose first request had run or could still run. */
  refusedWhilePending = false;

  requestReachesOwner(): boolean {
    if (this.resends >= MAX_RESENDS) return false;
    this.resends += 1;
    this.claim();
    return true;
  }

  handOver(): boolean {
    if (this.forward !== 'none') return false;
    this.forward = 'in-flight';
    return true;
  }

  handOverArrives(): boolean {
    if (this.forward !== 'in-flight') return false;
    this.forward = 'arrived';
    this.claim();
    return true;
  }

  cancelFromOtherEntry(): boolean {
    if (this.forward === 'none') return false;
    const result = this.table.cancel(key, 'crew', this.wallMs);
    if (result === 'cancelled') this.saidNotRun = true;
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
    if (this.table.revoke(KEY_TEXT)) this.saidNotRun = true;
    this.dispatcher = 'none';
    return true;
  }

  keyExpires(): boolean {
    if (this.wallMs > START_WALL_MS) return false;
    this.wallMs += LIFETIME_MS;
    return true;
  }

  forgetExpired(): boolean {
    const before = this.table.size;
    this.table.removeExpired(this.wallMs);
    return this.table.size !== before;
  }

  /** The owner refuses a re-send before the claim, for example when its service is gone. */
  refuseResend(): boolean {
    const burned = this.table.stateOf(KEY_TEXT) === 'burned';
    const pending = this.runs > 0 || (this.dispatcher !== 'none' && !burned);
    if (!this.table.mayHaveRun(key, this.wallMs)) this.refusedWhilePending ||= pending;
    return true;
  }

  private claim(): void {
    const claim = this.table.claim(key, 'crew', 'digest', this.wallMs);
    if (claim.kind === 'new') this.dispatcher = 'ready';
    if (claim.kind === 'settled' && claim.outcome.kind === 'not-run') this.saidNotRun = true;
  }
}

const actions: Actions<KeyModel> = {
  'request reaches the owner': (model) => model.requestReachesOwner(),
  'other entry hands over': (model) => model.handOver(),
  'hand-over arrives': (model) => model.handOverArrives(),
  'other entry cancels': (model) => model.cancelFromOtherEntry(),
  'owner marks sent': (model) => model.markSent(),
  'connect fails': (model) => model.connectFails(),
  'target runs it': (model) => model.targetRuns(),
  'answer arrives': (model) => model.end({ kind: 'answer', answer: 'booked', bytes: 6 }),
  'answer is lost': (model) => model.end({ kind: 'unknown' }),
  'deadline passes at the owner': (model) => model.deadlinePasses(),
  'owner refuses a re-send unread': (model) => model.refuseResend(),
  'key expires': (model) => model.keyExpires(),
  'owner forgets expired keys': (model) => model.forgetExpired(),
};

test('no order of events runs a key twice or makes a not_run answer untrue', () => {
  // Guards against a second run after a re-send, a hand-over, a cancel, an expiry or a lost answer.
  const result = explore<KeyModel>({
    create: () => new KeyModel(),
    actions,
    depth: DEPTH,
    violation: ({ runs, saidNotRun, refusedWhilePending }) => {
      if (refusedWhilePending) return 'a re-send was refused as not_run, but its request may run';
      if (runs > 1) return `the request ran ${runs} times`;
      return runs > 0 && saidNotRun ? 'not_run was said of a request that ran' : undefined;
    },
    fingerprint: (model) =>
      JSON.stringify([
        model.table.stateOf(KEY_TEXT),
        model.wallMs,
        model.dispatcher,
        model.runs,
        model.saidNotRun,
        model.forward,
        model.resends,
      ]),
  });
  assert.deepEqual(result, { kind: 'holds', states: result.kind === 'holds' ? result.states : 0 });
});
