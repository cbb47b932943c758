import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { test, type TestContext } from 'node:test';
import { z } from 'zod';
import { runDaemonCli } from './daemon-cli.js';

const schema = z.strictObject({ region: z.string(), vm: z.string() });

/** Runs the CLI on a settings file; returns its output, exit code and runs of the daemon. */
async function runCli(t: TestContext, text: string, ...extraArgs: string[]) {
  const dir = await mkdtemp(`${tmpdir()}/daemon-cli-`);
  const file = `${dir}/settings.yaml`;
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
    ...extraArgs,
  ]);
  streams.forEach(({ mock }) => mock.restore());
  await rm(dir, { recursive: true });
  const { exitCode } = process;
  process.exitCode = undefined;
  return { exitCode, ran, lines: lines.map((line) => line.replaceAll(file, 'file')) };
}

test('all validation errors of the settings are printed and the daemon is not started', async (t) => {
  // Guards against reporting only the first error, and against starting with invalid settings.
  const { exitCode, ran, lines } = await runCli(t, 'region: 1\nvm: 2\nwm: a\n');
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

test('--check does not start the daemon; without it the daemon receives the settings', async (t) => {
  const text = 'region: north\nvm: a\n';
  const checked = await runCli(t, text, '--check');
  assert.deepEqual(checked, {
    exitCode: undefined,
    ran: [],
    lines: ['file: settings are valid\n'],
  });
  assert.deepEqual((await runCli(t, text)).ran, [{ region: 'north', vm: 'a' }]);
});
