import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { runCtl } from '../program.js';
import { readLogLine } from './log-lines.js';
import { traceOf } from './trace-command.js';

// Unordered log lines of two gateways, written while a target crashed.
const recorded = fileURLToPath(new URL('../../testdata/trace.jsonl', import.meta.url));

async function trace(id: string): Promise<{ code: number; out: string[]; err: string[] }> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCtl(['trace', id, recorded], '0.1.0', {
    out: (line) => out.push(line),
    err: (line) => err.push(line),
    fetchStatus: () => Promise.reject(new Error('not used')),
  });
  return { code, out, err };
}

test('trace shows the attempts of a request on all gateways in order of time', async () => {
  const { code, out } = await trace('c1a7');
  assert.equal(code, 0);
  const steps = out.map((line) => line.replace(/^ *\+-?\d+ ms {2}/, '').split(/ (to|route)=/)[0]);
  assert.deepEqual(steps, [
    'vm-1  [request] attempt',
    'vm-1  [request] attempt ended',
    'vm-1  [state] target dropped target=i-7 reason=entry gone',
    'vm-1  [request] attempt',
    'vm-2  [request] attempt',
    'vm-2  [request] attempt ended',
    'vm-1  [request] attempt ended',
  ]);
});

test('trace exits with 1 when no log has the request', async () => {
  const { code, err } = await trace('unknown');
  assert.equal(code, 1);
  assert.match(err.join(''), /no log line of request unknown in 1 files/);
});

test('trace skips lines that are not log lines of a daemon', () => {
  assert.equal(readLogLine('Killed'), undefined);
  assert.equal(readLogLine('{"half": '), undefined);
  assert.equal(readLogLine(' 1.2 vm-1 {"time":"no","message":"x"}'), undefined);
  assert.deepEqual(traceOf('x', [], 1000), []);
});
