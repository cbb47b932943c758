import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildSnapshot, mainPartSchema } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { ControlState } from './control-state.js';
import { statusOf } from './status.js';
import { entryRef } from './testing/daemon-fixture.js';

test('the status names configured failure domains without a recent summary', () => {
  // Guards against a status that looks healthy because a lost failure domain is missing from it.
  const timers = new ManualTimerService();
  const state = new ControlState({ ...entryRef('e1'), role: 'control' }, timers);
  const regions = {
    north: { failure_domains: ['north-1'] },
    west: { failure_domains: ['west-1', 'west-2'] },
  };
  const main = mainPartSchema.parse({ format: 1, regions, services: {}, classes: {} });
  state.applySnapshot(buildSnapshot(1, main, []), 'platform');
  timers.advance(5000);
  const summary = { failureDomain: 'west-1', region: 'west', version: 1, ageMs: 0 };
  const lists = { servicesVersion: 1, entriesVersion: 1, services: [], entries: [] };
  state.summaries.merge([{ ...summary, ...lists }], timers.now());
  timers.advance(5000);
  assert.deepEqual(statusOf(state).silentDomains, []);
  timers.advance(6000);
  assert.deepEqual(statusOf(state).silentDomains, [
    { failureDomain: 'west-1', ageMs: 11_000 },
    { failureDomain: 'west-2', ageMs: 16_000 },
  ]);
});
