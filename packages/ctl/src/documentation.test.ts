import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import {
  classSchema,
  customerLimitsSchema,
  customerSchema,
  limitsSchema,
  linkSchema,
  mainPartSchema,
  metricsSchema,
  modelSchema,
  modelServiceSchema,
  operationSchema,
  plainServiceSchema,
  regionSchema,
  weightsSchema,
} from '@marjoramcart/core';
import { controlSettingsSchema, entrySettingsSchema } from '@marjoramcart/runtime';
import { runCtl } from './program.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const guide = await readFile(`${root}docs/operators.md`, 'utf8');

test("the operators' guide describes every configuration key and setting", () => {
  const schemas = [
    classSchema,
    customerLimitsSchema,
    customerSchema,
    limitsSchema,
    linkSchema,
    mainPartSchema,
    metricsSchema,
    modelSchema,
    modelServiceSchema,
    operationSchema,
    plainServiceSchema,
    regionSchema,
    weightsSchema,
    controlSettingsSchema,
    entrySettingsSchema,
  ];
  const keys = new Set(schemas.flatMap(({ shape }) => Object.keys(shape)));
  const names = new Set(
    [...guide.matchAll(/`([^`\n]+)`/g)].flatMap(([, code = '']) => code.split('.')),
  );
  assert.deepEqual(
    [...keys].filter((key) => !names.has(key)),
    [],
  );
});

const PREFIX = 'node packages/ctl/dist/main.js ';
const commands = guide.split('\n').filter((line) => line.startsWith(PREFIX));

test("the operators' guide has example commands of marjoramctl", () => {
  assert.ok(commands.length > 0);
});

commands.forEach((line) => {
  test(`the command in the guide succeeds: ${line}`, async () => {
    // Guards against a guide whose commands no longer match the program.
    const args = line
      .slice(PREFIX.length)
      .split(' ')
      .map((arg) => (arg.startsWith('examples/') ? `${root}${arg}` : arg));
    const code = await runCtl(args, '0.1.0', {
      out: () => undefined,
      err: (text) => assert.fail(text),
      fetchStatus: () => Promise.reject(new Error('not used')),
    });
    assert.equal(code, 0);
  });
});
