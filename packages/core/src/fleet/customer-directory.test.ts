import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANY_REGION } from '../residency/region-scope.js';
import {
  AuthFailure,
  authenticate,
  type Credentials,
  type KeyFreshness,
} from './authentication.js';
import { CustomerDirectory, customerDirectoryOf } from './customer-directory.js';
import type { FleetCustomer } from './fleet-config.js';

const FRESH: KeyFreshness = {
  sourceAgeMs: 100,
  configBehindMs: 0,
  revokeMs: 5000,
  revokeFailClosed: false,
};

function customer(name: string, keyDigests: string[], priority?: number): FleetCustomer {
  const own = priority === undefined ? {} : { priority };
  return { name, keyDigests, regions: ANY_REGION, ...own };
}

function directoryOf(...customers: FleetCustomer[]): CustomerDirectory {
  return new CustomerDirectory(new Map(customers.map((entry) => [entry.name, entry])));
}

const directory = directoryOf(customer('acme', ['d-1', 'd-3']), customer('bolt', ['d-2', 'd-3']));

/** Name of the customer, or why there is none. */
function outcome(credentials: Partial<Credentials>, freshness: Partial<KeyFreshness> = {}): string {
  const verdict = authenticate(
    directory,
    { apiKey: { kind: 'missing' }, isPublic: false, ...credentials },
    { ...FRESH, ...freshness },
  );
  if (verdict.kind === 'accepted') return verdict.customer?.name ?? 'nobody';
  return verdict.kind === 'wait' ? 'wait' : verdict.failure;
}

function withKey(digest: string, more: Partial<Credentials> = {}): Partial<Credentials> {
  return { apiKey: { kind: 'digest', digest }, ...more };
}

// Guards against requests without a customer that are run, and against a key that identifies the wrong one.
test('only a key of exactly one customer is accepted', () => {
  assert.equal(outcome(withKey('d-1')), 'acme');
  assert.equal(outcome(withKey('d-2')), 'bolt');
  assert.equal(outcome(withKey('d-3')), AuthFailure.Shared);
  assert.equal(outcome(withKey('d-4')), AuthFailure.Unknown);
  (['missing', 'malformed', 'repeated'] as const).forEach((kind) =>
    assert.equal(outcome({ apiKey: { kind } }), kind),
  );
});

// Guards against public routes that need a key, or that do not tell the target a customer that has one.
test('a public route needs no key, and a known key identifies the customer there too', () => {
  assert.equal(outcome(withKey('d-1', { isPublic: true })), 'acme');
  assert.equal(outcome(withKey('d-4', { isPublic: true })), 'nobody');
  assert.equal(outcome({ isPublic: true, apiKey: { kind: 'repeated' } }), 'nobody');
  assert.equal(
    outcome({ isPublic: true }, { revokeFailClosed: true, sourceAgeMs: 9000 }),
    'nobody',
  );
});

// Guards against a forward that is run for a customer that the receiver does not have (any more).
test('a forward is accepted for the customer that the other gateway names, if it is known', () => {
  assert.equal(outcome({ forwardedFor: 'bolt' }), 'bolt');
  assert.equal(outcome({ forwardedFor: 'gone' }), AuthFailure.Unknown);
  assert.equal(
    outcome(withKey('d-1', { forwardedFor: 'gone', isPublic: true })),
    AuthFailure.Unknown,
  );
});

// Guards against 401 for a key that was just added, and against waiting where nothing newer is known.
test('an unknown key waits for a newer configuration, and is not judged without contact', () => {
  assert.equal(outcome(withKey('d-4'), { configBehindMs: 10 }), 'wait');
  assert.equal(outcome(withKey('d-1'), { configBehindMs: 10 }), 'acme');
  assert.equal(outcome(withKey('d-4'), { sourceAgeMs: 2400 }), AuthFailure.Unknown);
  assert.equal(outcome(withKey('d-4'), { sourceAgeMs: 2600 }), AuthFailure.Outdated);
  assert.equal(outcome({}, { sourceAgeMs: 2600, configBehindMs: 10 }), AuthFailure.Missing);
});

// Guards against keys that a cut-off gateway accepts for ever although they may have been removed.
test('a gateway that fails closed accepts no key without contact for the given time', () => {
  const closed = { revokeFailClosed: true };
  assert.equal(outcome(withKey('d-1'), { ...closed, sourceAgeMs: 4900 }), 'acme');
  assert.equal(outcome(withKey('d-1'), { ...closed, sourceAgeMs: 5100 }), AuthFailure.Outdated);
  assert.equal(outcome(withKey('d-1'), { ...closed, configBehindMs: 5100 }), AuthFailure.Outdated);
  assert.equal(
    outcome({ forwardedFor: 'acme' }, { ...closed, sourceAgeMs: 5100 }),
    AuthFailure.Outdated,
  );
  assert.equal(outcome(withKey('d-1'), { sourceAgeMs: 60_000 }), 'acme');
});

// Guards against a directory of many customers that is built for each request.
test('the directory of a configuration is built once', () => {
  const customers = new Map([['acme', customer('acme', ['d-1'])]]);
  assert.equal(customerDirectoryOf({ customers }), customerDirectoryOf({ customers }));
  assert.equal(customerDirectoryOf({}), undefined);
});
