import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { ProcessRef, StatusResult } from '@marjoramcart/core';
import { HttpListener } from '@marjoramcart/runtime';
import { fetchStatus } from './fetch-status.js';
import { runCtl } from './program.js';

const example = fileURLToPath(new URL('../../../examples/telgitoo', import.meta.url));
const explain = ['explain', '--text', example, '--service', 'crew-answers', '--region', 'north'];

async function run(args: readonly string[], statuses: Record<string, StatusResult> = {}) {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCtl(args, '0.1.0', {
    out: (line) => out.push(line),
    err: (line) => err.push(line),
    fetchStatus: (address) => {
      const status = statuses[address];
      return status ? Promise.resolve(status) : Promise.reject(new Error('no\nanswer'));
    },
  });
  return { code, out: out.join('\n'), err: err.join('\n') };
}

function daemon(vm: string, role: ProcessRef['role']): ProcessRef {
  return {
    bootId: `${vm}-${role}`,
    role,
    vm,
    region: 'north',
    failureDomain: 'north-1',
    peerAddress: '10.0.0.1:7001',
  };
}

function statusAt(revision: number, change: Partial<StatusResult> = {}): StatusResult {
  const control = daemon('vm-1', 'control');
  const processes = [
    { process: control, revision: 1, heartbeat: 1 },
    { process: daemon('vm-1', 'entry'), revision, heartbeat: 1 },
  ];
  const base = { configServiceAgeMs: 10, targets: [], summaries: [], gaps: [] };
  return { control, revision, processes, ...base, ...change };
}

let folder = '';
before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'marjoramctl-'));
});
after(() => rm(folder, { recursive: true }));

async function changedMain(from: string, to: string): Promise<string> {
  const text = await readFile(join(example, 'main.yaml'), 'utf8');
  assert.ok(text.includes(from));
  const file = join(folder, 'main.yaml');
  await writeFile(file, text.replace(from, to));
  return file;
}

test('check prints validation errors as file:line:column and exits with 1', async () => {
  const file = await changedMain('deadline: 30s', 'deadline: 30 sec');
  const { code, out } = await run(['check', file, join(example, 'customers-crews.yaml')]);
  assert.equal(code, 1);
  assert.match(out, /^\S+main\.yaml:\d+:\d+: services\.crew-answers\.deadline: .* \(.*250ms.*\)$/);
  assert.equal((await run(['check', example])).code, 0);
});

test('invalid usage, unreadable files and unreachable daemons exit with 2 and one line', async () => {
  const commands = [['nothing'], ['check'], ['check', '/no/such/file'], ['status', 'a:1']];
  const results = await Promise.all(commands.map((args) => run(args)));
  results.forEach(({ code, out, err }) => {
    assert.equal(code, 2);
    assert.equal(out, '');
    assert.match(err, /^[^\n]+$/);
  });
  assert.equal((await run(['--help'])).code, 0);
  assert.equal((await run(['--version'])).out, '0.1.0');
});

test('diff shows the change of a model version and its effects', async () => {
  const customers = await readFile(join(example, 'customers-crews.yaml'), 'utf8');
  await changedMain("version: '3'", "version: '4'");
  await writeFile(join(folder, 'customers-crews.yaml'), customers);
  const { code, out } = await run(['diff', example, folder]);
  assert.equal(code, 0);
  assert.match(out, /model rigging-reader: version: 3 -> 4/);
  assert.match(out, /version 4 is loaded in central-1, north-1, west-1/);
  assert.equal((await run(['diff', example, example])).out, 'no difference');
});

test('status is healthy when every daemon has the same revision', async () => {
  const { code, out } = await run(['status', 'a:1'], { 'a:1': statusAt(7) });
  assert.equal(code, 0, out);
  assert.match(out, /^revision 7\n/);
});

test('status names stale and missing daemons, gaps, silent failure domains and a rejected revision', async () => {
  // Guards against a status that looks healthy while part of the fleet has an old revision.
  const gap = { failureDomain: 'north-1', service: 's', wanted: 4, ready: 1 };
  const behind = statusAt(7, {
    control: { ...daemon('vm-2', 'control') },
    revision: 9,
    rejected: { revision: 10, message: 'config/main:3:1: unknown key' },
    silentDomains: [{ failureDomain: 'west-1', ageMs: 12_000 }],
    gaps: [{ ...gap, sinceMs: 65_000, reason: 'loading' }],
  });
  const { code, out } = await run(['status', 'a:1', 'b:2'], { 'a:1': behind });
  assert.equal(code, 1);
  assert.match(out, /vm-1 +entry +\S+ +7 +stale +2 behind/);
  assert.match(out, /b:2 +- +missing +no answer/);
  assert.match(out, /north-1 +s +1\/4 +65s +loading/);
  assert.match(out, /north-1 has not heard from west-1 for 12 s/);
  assert.match(out, /revision 10 is rejected: config\/main:3:1/);
  const json = await run(['status', '--json', 'a:1'], { 'a:1': behind });
  assert.equal((JSON.parse(json.out) as { revision: number }).revision, 9);
});

test('explain rejects a region that the customer does not allow', async () => {
  // The customer rigging-03 allows only the west region.
  const { code, out } = await run([...explain, '--customer', 'rigging-03']);
  assert.equal(code, 1);
  assert.match(out, /^allowed regions: west$/m);
  assert.match(out, /north-1 \(north\): no, the customer's data may not be in 'north'/);
  assert.match(out, /the request is refused in this region/);
});

test('explain prints the cost terms and uses the load in a given status', async () => {
  const idle = await run([...explain, '--customer', 'tent-01']);
  assert.match(idle.out, /the request goes to north-1/);
  const summary = (failureDomain: string, region: string, waitMs: number) => ({
    failureDomain,
    region,
    version: 1,
    ageMs: 100,
    services: [{ service: 'crew-answers', readyTargets: 4, waitMs, freeSlots: 10 }],
    entries: [],
  });
  const summaries = [
    summary('north-1', 'north', 9000),
    summary('central-1', 'central', 100),
    summary('west-1', 'west', 50),
  ];
  const args = [...explain, '--customer', 'tent-01', '--address', 'a:1'];
  const busy = await run(args, { 'a:1': statusAt(7, { summaries }) });
  assert.equal(busy.code, 0, busy.err);
  assert.match(busy.out, /the request goes to west-1/);
  // w_tail 3 * (2 * 80 ms + 50 ms + 125 ms prefill).
  assert.match(busy.out, /west-1 +4 +50\.0 +80\.0 +125\.0 +1005\.0/);
});

test('fetchStatus reads the status over HTTP and rejects other responses', async () => {
  const body = { text: JSON.stringify(statusAt(3)) };
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_, res) => {
      res.end(body.text);
    },
    onError: (err) => assert.fail(String(err)),
  });
  await listener.listen();
  try {
    assert.equal((await fetchStatus(listener.address)).revision, 3);
    body.text = '{}';
    await assert.rejects(fetchStatus(listener.address), /not the status/);
  } finally {
    listener.destroy();
  }
});
