import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { controlSettingsSchema, entrySettingsSchema, loadSettings } from '@marjoramcart/runtime';
import { readAcceptedConfig } from './text-files.js';

const root = new URL('../../../examples/', import.meta.url);
const io = {
  out: () => undefined,
  err: (line: string) => assert.fail(line),
  fetchStatus: () => Promise.reject(new Error('not used')),
};

['telgitoo', 'afilados'].forEach((name) => {
  const folder = fileURLToPath(new URL(name, root));

  test(`the text of the example ${name} is accepted at its size`, async () => {
    // Guards against an example that the checker of the same release refuses.
    const text = await readAcceptedConfig(io, [folder]);
    assert.ok(text);
    const { regions, services } = text.main;
    assert.equal(Object.values(regions).flatMap((region) => region.failure_domains).length, 3);
    const model = Object.values(services).find(({ kind }) => kind === 'model');
    const plain = Object.values(services).find(({ kind }) => kind === 'plain');
    assert.equal((model?.targets.max ?? 0) * 3, 12);
    assert.equal((plain?.targets.max ?? 0) * 3, 3);
    assert.equal(text.customers.length, 240);
  });

  test(`the settings of the example ${name} are valid`, () => {
    const entry = loadSettings(`${folder}/entry.yaml`, entrySettingsSchema);
    const control = loadSettings(`${folder}/control.yaml`, controlSettingsSchema);
    assert.equal(entry.kind, 'valid', JSON.stringify(entry));
    assert.equal(control.kind, 'valid', JSON.stringify(control));
    // An entry that names another control daemon than its VM's would never be ready.
    const pairs = entry.kind === 'valid' && control.kind === 'valid';
    assert.ok(pairs && entry.value.control === control.value.listen.peers);
  });
});
