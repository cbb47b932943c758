import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GatewayPhase,
  type FleetState,
  type GatewayRecord,
  type TargetRecord,
} from '@marjoramcart/core';
import {
  changesBetween,
  decodeFleetUpdate,
  encodeFleetUpdate,
  type FleetUpdate,
} from './fleet-update.js';
import { decodeGossip, encodeGossip, type GossipMessage } from './gossip-message.js';
import { decodeNotification } from './notification.js';
import { packBeats, unpackBeats, unpackProcessIds } from './packed-beats.js';
import { NO_SIGNALS, type SignalRows } from './signal-rows.js';
import { decodeStreamUpdate, encodeStreamUpdate, type StreamUpdate } from './stream-update.js';
import { decodeTargetUpdate, encodeTargetUpdate, type TargetUpdate } from './target-update.js';

const RECORD: TargetRecord = {
  id: 'i-1',
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'north-a',
  region: 'north',
  slots: 16,
  draining: true,
  coldForMs: 300,
  bornAt: 1_700_000_000_000,
};

const SIGNALS: SignalRows = {
  leaving: [{ id: 'i-1', address: '10.0.0.9:80', bornAt: 1_700_000_000_002, ageMs: 40 }],
  limits: [
    { id: 'i-2', address: '10.0.0.9:81', bornAt: 0, ageMs: 30, requestsPerS: 1.5 },
    { id: 'i-3', address: '10.0.0.9:82', bornAt: 0, ageMs: 20, requestsPerS: undefined },
  ],
  rejectionLimits: [
    { service: 'chat', ageMs: 10, rejectionsPerS: 0 },
    { service: 'plain', ageMs: 20, rejectionsPerS: undefined },
  ],
};

function stateWith(revision: number, targets: readonly TargetRecord[], era = 1): FleetState {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 };
  const config = { version: 3, routes: [], services: new Map(), limits };
  return { era, revision, config, targets, evacuated: new Set() };
}

test('a target update loses no field when it is encoded and decoded', () => {
  const prompt = { id: 'r1', workMs: 700, priority: 2, segments: [{ id: 'aa', tokens: 512 }] };
  const all: TargetUpdate[] = [
    { kind: 'prompt', target: 'i-1', prompt },
    { kind: 'unreachable', target: 'i-1', from: 'vm-2' },
    { kind: 'rejected', target: 'i-1', from: 'vm-2' },
    { kind: 'signals', rows: SIGNALS, from: 'vm-2' },
    { kind: 'signals', rows: NO_SIGNALS, from: 'vm-2' },
    {
      kind: 'reports',
      rows: [
        { target: 'i-1', report: { requests: 3, memoryTokens: 41_000 } },
        { target: 'i-2', report: { requests: 1 } },
        { target: 'i-3', report: { requests: 1, bornAt: 1_700_000_000_000, speedFactor: 2.5 } },
      ],
    },
    { kind: 'warmth', rows: [{ target: 'i-1', bornAt: 1_700_000_000_000, coldForMs: 4000 }] },
    {
      kind: 'speeds',
      rows: [
        { target: 'i-1', bornAt: 1_700_000_000_000, factor: 4, samples: 1.5 },
        { target: 'i-2', bornAt: 0, factor: 0.6 },
      ],
    },
  ];
  all.forEach((update) => {
    assert.deepEqual(decodeTargetUpdate(decodeNotification(encodeTargetUpdate(update))), update);
  });
});

test('a fleet update contains each change, and is left out when it would exceed one packet', () => {
  const before = stateWith(10, [RECORD, { ...RECORD, id: 'i-2' }]);
  const after = stateWith(12, [RECORD, { ...RECORD, id: 'i-3' }]);
  const changes = changesBetween(before, after);
  assert.deepEqual(changes, { since: 10, targets: [after.targets[1]], gone: ['i-2'] });
  const update: FleetUpdate = {
    node: 'vm-1',
    ...changes,
    revision: 12,
    era: 1,
    configVersion: 3,
    sourceAgeMs: 40,
    evacuated: ['north-a'],
  };
  assert.deepEqual(decodeFleetUpdate(decodeNotification(encodeFleetUpdate(update))), update);
  const many = Array.from({ length: 30 }, (_, index) => ({ ...RECORD, id: `i-${index}` }));
  assert.equal(changesBetween(before, stateWith(13, many)).since, undefined);
});

// Guards against changes since a revision of the earlier era that a gateway applies to another state.
test('a fleet update contains no changes between two eras of the source', () => {
  const before = stateWith(26, [RECORD]);
  assert.deepEqual(changesBetween(before, stateWith(20, [RECORD], 2)).since, undefined);
});

// Guards against a gateway that doesn't watch and takes each entry for one of an older copy.
test('a fleet update tells the revisions of the entries that have one', () => {
  const targets = [{ ...RECORD, revision: 11 }, RECORD, { ...RECORD, id: 'i-3', revision: 12 }];
  const update: FleetUpdate = {
    node: 'vm-1',
    since: 10,
    revision: 12,
    era: 1,
    configVersion: 3,
    sourceAgeMs: 40,
    targets,
    gone: [],
    evacuated: [],
  };
  const decoded = decodeFleetUpdate(decodeNotification(encodeFleetUpdate(update)));
  assert.deepEqual(decoded?.targets, targets);
});

test('messages of the previous release, which tell no era, are decoded without one', () => {
  const update = { n: 'vm-1', s: 10, r: 12, c: 3, a: 40, t: [], g: [], e: [] };
  const decoded = decodeFleetUpdate({ method: 'fleet.news', params: update });
  assert.equal(decoded?.era, undefined);
  const row = ['vm-1', 1, 7, 1, 'north', 'north-a', '10.0.0.1', 3, 12, {}];
  const gossip = { f: row, o: [[...row, 1200]], w: {}, t: 5000 };
  const message = decodeGossip({ method: 'gateway.gossip', params: gossip });
  assert.equal(message?.from.era, undefined);
  assert.deepEqual(
    message?.others.map(({ record, ageMs }) => [record.era, ageMs]),
    [[undefined, 1200]],
  );
});

// Guards against an era that can't be compared, after which no state counts as newer.
// Guards against streams that are joined from two versions because gateways don't tell each other which
// targets have which.
test('a fleet update tells the software versions of targets', () => {
  const records: TargetRecord[] = [{ ...RECORD, softwareVersion: 'v1.2' }, RECORD];
  const update: FleetUpdate = {
    node: 'vm-1',
    ...changesBetween(stateWith(5, []), stateWith(6, records)),
    revision: 6,
    configVersion: 3,
    sourceAgeMs: 0,
    evacuated: [],
  };
  const decoded = decodeFleetUpdate(decodeNotification(encodeFleetUpdate(update)));
  assert.deepEqual(
    decoded?.targets.map(({ softwareVersion }) => softwareVersion),
    ['v1.2', undefined],
  );
});

test('an update about streams loses no field when it is encoded and decoded', () => {
  const all: StreamUpdate[] = [
    {
      kind: 'begun',
      streams: [
        { id: 'a', service: 'model', version: 'v1', ageMs: 20 },
        { id: 'b', service: 'model', version: undefined, ageMs: 0 },
      ],
    },
    { kind: 'ask', number: 7, id: 'a', service: 'model', ageMs: 13_000 },
    { kind: 'told', number: 7, version: 'v1', noted: true },
    { kind: 'told', number: 8, version: undefined, noted: false },
  ];
  all.forEach((update) =>
    assert.deepEqual(decodeStreamUpdate(decodeNotification(encodeStreamUpdate(update))), update),
  );
});

test('an era that is not a whole number counts as not told', () => {
  const update = { n: 'vm-1', s: 10, r: 12, c: 3, a: 40, t: [], g: [], e: [] };
  const row = ['vm-1', 1, 7, 1, 'north', 'north-a', '10.0.0.1', 3, 12, {}];
  ['2', -1, 1.5, 1e300, {}].forEach((era) => {
    const decoded = decodeFleetUpdate({ method: 'fleet.news', params: { ...update, era } });
    assert.equal(decoded?.era, undefined);
    const gossip = { f: row, o: [[...row, 1200, era]], w: {}, t: 5000 };
    const message = decodeGossip({ method: 'gateway.gossip', params: gossip });
    assert.equal(message?.others[0]?.record.era, undefined);
  });
});

test('a datagram of an unknown method or without valid JSON is not taken for an update', () => {
  const other = decodeNotification(Buffer.from('{"method":"x","params":{}}'));
  assert.equal(decodeTargetUpdate(other), undefined);
  assert.equal(decodeFleetUpdate(other), undefined);
  assert.throws(() => decodeNotification(Buffer.from('\xff{')));
});

test('a gossip message loses no field when it is encoded and decoded, packed beats included', () => {
  const work = { targets: 2, slots: 8, requests: 3, backlogMs: 40, memoryTokens: 10 };
  const from: GatewayRecord = {
    node: 'vm-1',
    bootAt: 1_700_000_000_000,
    heartbeat: 7,
    phase: GatewayPhase.Draining,
    region: 'north',
    failureDomain: 'north-a',
    ip: '10.0.0.1',
    configVersion: 3,
    revision: 12,
    era: 1,
  };
  const message: GossipMessage = {
    from,
    others: [{ record: { ...from, node: 'vm-2', cutOff: true, reachChanges: 301 }, ageMs: 1200 }],
    reach: [
      { processId: 0xff_ff_fe, changes: 255 },
      { processId: 2, changes: 0 },
    ],
    beats: [
      { processId: 0xff_ff_ff, phase: GatewayPhase.Ready, ageMs: 6300 },
      { processId: 1, phase: GatewayPhase.Closing, ageMs: 0 },
    ],
    pull: 3,
    wanted: [7, 0xfe_00_01],
    work: { model: { ...work, memoryCapacityTokens: 400 } },
    summaries: [
      { region: 'west', ageMs: 300, work: { model: { ...work, memoryCapacityTokens: 500 } } },
    ],
    targetWork: { 'i-1': { requests: 2, memoryTokens: 800 } },
    sentAt: 5000,
    echo: { sentAt: 4000, heldMs: 12 },
    roster: { digest: 77, complete: true },
    rosterMembers: [{ node: 'vm-4', ageMs: 3000 }],
    suspects: [
      { key: 'aa', deaths: [{ target: 1, request: 2, ageMs: 300 }], clearedAgeMs: 900 },
      { key: 'bb', deaths: [{ target: 1, request: 2, ageMs: 300, ranMs: 20 }] },
    ],
    signals: SIGNALS,
    usage: [{ host: 'api.example', counts: [['/answers/', 120]] }],
    demands: [],
  };
  assert.deepEqual(decodeGossip(decodeNotification(encodeGossip(message))), message);
  const rest = { customers: 24_000, asked: 900_000, admitted: 0 };
  const customers = [{ key: 0xff_ff_ff_fe, asked: 54_600, admitted: 0.5 }];
  const demand = { refused: 12, overloaded: 0, customers, rest };
  const told = { ...message, demands: [{ service: 'chat', demand }] };
  const [row] = decodeGossip(decodeNotification(encodeGossip(told)))?.demands ?? [];
  assert.equal(row?.service, 'chat');
  assert.equal(row.demand.rest.customers, rest.customers);
  assert.equal(row.demand.customers[0]?.key, customers[0]?.key);
  // Rates are rounded to 0.03%.
  const isClose = (actual = 0, expected = 0): boolean => Math.abs(actual / expected - 1) < 3e-4;
  assert.ok(isClose(row.demand.customers[0]?.asked, customers[0]?.asked));
  assert.ok(isClose(row.demand.rest.asked, rest.asked));
  assert.ok(isClose(row.demand.refused, demand.refused));
});

test('beats and ids that are cut off are ignored', () => {
  const text = packBeats([{ processId: 5, phase: GatewayPhase.Ready, ageMs: 0 }]);
  assert.deepEqual(unpackBeats(text.slice(0, 4)), []);
  assert.deepEqual(unpackProcessIds('AAABAA'), [1]);
});

// Guards against dead gateways that seem to live as long as others relay their beats.
test('a beat does not get younger while it is relayed', () => {
  const relayed = Array.from({ length: 20 }).reduce<number>((ageMs) => {
    const [beat] = unpackBeats(packBeats([{ processId: 5, phase: GatewayPhase.Ready, ageMs }]));
    return beat?.ageMs ?? 0;
  }, 1010);
  assert.equal(relayed, 1100);
});

// Guards against beats whose age is misread by gateways of the release before, which know four phases.
test('a beat of a gateway that finishes is sent as that of a draining one', () => {
  const beat = { processId: 5, phase: GatewayPhase.Finishing, ageMs: 300 };
  assert.deepEqual(unpackBeats(packBeats([beat])), [{ ...beat, phase: GatewayPhase.Draining }]);
});
