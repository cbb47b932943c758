import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GatewayPhase, GatewayTable, type GatewayRecord } from '@marjoramcart/core';
import { Contact, Touch } from './touch.js';

interface Fixture {
  readonly table: GatewayTable;
  sourceAgeMs: number;
  readonly touch: Touch;
}

function createFixture(): Fixture {
  const table = new GatewayTable('vm-1');
  const fixture = { table, sourceAgeMs: 0 };
  const touch = new Touch({
    failureDomain: 'north-a',
    table,
    sourceAgeMs: () => fixture.sourceAgeMs,
  });
  return Object.assign(fixture, { touch });
}

function record(
  node: string,
  heartbeat: number,
  changes: Partial<GatewayRecord> = {},
): GatewayRecord {
  return {
    node,
    bootAt: 1,
    heartbeat,
    phase: GatewayPhase.Ready,
    region: 'north',
    failureDomain: 'north-a',
    ip: '127.0.0.2',
    configVersion: 1,
    revision: 1,
    ...changes,
  };
}

test('a gateway that hears neither the source nor others is out of touch after two seconds', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 0);
  fixture.sourceAgeMs = 2000;
  assert.equal(fixture.touch.contact(2000), Contact.Alone);
});

// Guards against changes of contact every other second while a source without changes is read.
test('a gateway that hears no other one is in touch with a source that responds every 1.5 s', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 0);
  fixture.sourceAgeMs = 1700;
  assert.equal(fixture.touch.contact(20_000), Contact.InTouch);
});

test('a gateway is in touch while it hears the source or all other gateways', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 0);
  fixture.sourceAgeMs = 900;
  assert.equal(fixture.touch.contact(20_000), Contact.InTouch);
  fixture.table.mergeRecord(record('vm-2', 2), 20_000);
  fixture.sourceAgeMs = 20_000;
  assert.equal(fixture.touch.contact(20_500), Contact.InTouch);
});

// Guards against a region that is cut off and takes all its targets for warm.
test('a gateway that hears its region only is out of touch', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 5000);
  fixture.table.mergeRecord(record('vm-3', 1, { region: 'west', failureDomain: 'west-a' }), 2000);
  fixture.sourceAgeMs = 3000;
  assert.equal(fixture.touch.contact(5000), Contact.OutOfTouch);
});

// Guards against holding warm targets for cold in an outage of the source beside a gateway that was killed.
test('a gateway that was killed does not put others out of touch while its neighbours are heard', () => {
  const fixture = createFixture();
  const west = { region: 'west', failureDomain: 'west-a' };
  fixture.table.mergeRecord(record('vm-2', 1, west), 5000);
  fixture.table.mergeRecord(record('vm-3', 1, west), 1000);
  fixture.table.mergeRecord(record('vm-4', 1), 1000);
  fixture.sourceAgeMs = 5000;
  assert.equal(fixture.touch.contact(5000), Contact.InTouch);
});

test('a gateway that has ended does not put others out of touch', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 5000);
  fixture.table.mergeRecord(record('vm-3', 1, { phase: GatewayPhase.Draining }), 1000);
  fixture.sourceAgeMs = 5000;
  assert.equal(fixture.touch.contact(5000), Contact.InTouch);
});

test('a gateway without others is out of touch with the source alone, until it is back', () => {
  const fixture = createFixture();
  fixture.sourceAgeMs = 2000;
  assert.equal(fixture.touch.contact(2000), Contact.InTouch);
  fixture.sourceAgeMs = 2500;
  assert.equal(fixture.touch.contact(2500), Contact.OutOfTouch);
  fixture.sourceAgeMs = 1500;
  assert.equal(fixture.touch.contact(3000), Contact.OutOfTouch);
  fixture.sourceAgeMs = 100;
  assert.equal(fixture.touch.contact(3100), Contact.InTouch);
});

test('a gateway that hears nobody stays alone after the others have expired, until the source is back', () => {
  const fixture = createFixture();
  fixture.table.mergeRecord(record('vm-2', 1), 0);
  fixture.sourceAgeMs = 2000;
  assert.equal(fixture.touch.contact(2000), Contact.Alone);
  fixture.table.expire(120_000);
  fixture.sourceAgeMs = 120_000;
  assert.equal(fixture.touch.contact(120_000), Contact.Alone);
  fixture.sourceAgeMs = 0;
  assert.equal(fixture.touch.contact(120_100), Contact.InTouch);
});
