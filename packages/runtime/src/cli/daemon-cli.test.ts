import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { test, type TestContext } from 'node:test';
import { z } from 'zod';
import { runDaemonCli } from './daemon-cli.js';

const schema = z.strictObject({ region: z.string(), vm: z.string() });

/** Runs the command line of a daemon on a settings file; what it wrote and how it ended. */
async function runOn(t: TestContext, text: string, ...more: string[]) {
  const folder = await mkdtemp(`${tmpdir()}/daemon-cli-`);
  const file = `${folder}/settings.yaml`;
  await writeFile(file, text);
  const lines: string[] = [];
  const write = (chunk: unknown): boolean => lines.push(String(chunk)) > 0;
  const streams = [process.stdout, process.stderr].map((stream) =>
    t.mock.method(stream, 'write', write),
  );
  const ran: unknown[] = [];
  const run = async (settings: unknown): Promise<void> => {
    ran.push(settings);
  };
  await runDaemonCli({ name: 'd', description: 'd', schema, run }, [
    ...['node', 'd', '--config', file],
    ...more,
  ]);
  streams.forEach(({ mock }) => mock.restore());
  await rm(folder, { recursive: true });
  const { exitCode } = process;
  process.exitCode = undefined;
  return { exitCode, ran, lines: lines.map((line) => line.replaceAll(file, 'file')) };
}

test('all faults of the settings are printed and nothing is run', async (t) => {
  // Guards against one fault a run, and against a daemon that starts with wrong settings.
  const { exitCode, ran, lines } = await runOn(t, 'region: 1\nvm: 2\nwm: a\n');
  assert.equal(exitCode, 2);
  assert.deepEqual(ran, []);
  assert.deepEqual(
    lines.map((line) => line.trim()),
    [
      'd: file:1:9: region: expected string, received number',
      'd: file:2:5: vm: expected string, received number',
      "d: file:3:1: unknown key 'wm'",
    ],
  );
});

test('a check does not run the daemon, a run gets the settings', async (t) => {
  const text = 'region: north\nvm: a\n';
  const checked = await runOn(t, text, '--check');
  assert.deepEqual(checked, {
    exitCode: undefined,
    ran: [],
    lines: ['file: settings are valid\n'],
  });
  assert.deepEqual((await runOn(t, text)).ran, [{ region: 'north', vm: 'a' }]);
});
