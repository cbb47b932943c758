/**
 * Demo: starts three regions on loopback addresses and sends a streamed chat completion, a booking,
 * a call that must stay in its region and a call that is forwarded to another region.
 */
import { Command } from 'commander';
import type { CallResult, ListedEntry } from '../caller/call-result.js';
import { Caller, chatText, makeKey } from '../caller/caller.js';
import { expectedResponseText, type ChatRequest } from '../engine/chat-completion.js';
import { exampleConfig, exampleDomains, ExampleKeys } from '../fleet/example-config.js';
import { Fleet } from '../fleet/fleet.js';
import { waitFor } from '../fleet/wait.js';

const ONE_WAY_MS = 80;
const SERVING_TIMEOUT_MS = 30_000;
const NOT_READY_CODES = [3106, 4102, 4103];

const options = new Command('demo')
  .option('--keep', 'keep the fleet running and print example curl commands')
  .parse()
  .opts<{ keep?: boolean }>();

const crew = new Caller(ExampleKeys['tent-crew']);
const archive = new Caller(ExampleKeys['tartu-archive']);
const stopped = new AbortController();
const startedAt = performance.now();
print('starting 3 regions ...');
const fleet = await Fleet.start({
  name: 'demo',
  domains: exampleDomains,
  config: { 'config/main': exampleConfig({ oneWayMs: ONE_WAY_MS }) },
  delayMs: ONE_WAY_MS,
});
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => stopped.abort()));
try {
  const complete = await runCalls();
  print(complete ? 'all responses were complete' : 'NOT all responses were complete');
  process.exitCode = complete ? 0 : 1;
  if (options.keep) await keepRunning();
} finally {
  crew.close();
  archive.close();
  await fleet.stop();
}

async function runCalls(): Promise<boolean> {
  const { north, west } = entryAddresses();
  await Promise.all([
    waitUntilServed(() => crew.chat(north, chat('warm-up-north'))),
    waitUntilServed(() => crew.chat(west, chat('warm-up-west'))),
    waitUntilServed(() => crew.call(north, { method: 'GET', path: '/svc/crane-booking/slots' })),
  ]);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
  print(
    `${fleet.processes.length} processes are serving after ${seconds} s; logs are in ${fleet.folder}`,
  );
  const ownerEntry = await firstListedEntry(crew, north);
  const localEntry = await firstListedEntry(archive, west);
  const key = makeKey(ownerEntry.key_prefix, 'demo-booking-1');
  const booking = await crew.call(ownerEntry.address, {
    method: 'POST',
    path: '/svc/crane-booking/slots',
    body: { slot: '2027-01-04T08:00', note: 'marker:demo-booking' },
    headers: { 'idempotency-key': key },
  });
  return [
    report(
      'streamed chat completion',
      'demo-chat',
      await crew.chat(north, chat('demo-chat')),
      isExpected('demo-chat'),
    ),
    report('booking with a key', 'demo-booking', booking, () => bookedOnce('demo-booking')),
    report(
      'stays in its region',
      'demo-home',
      await archive.chat(localEntry.address, chat('demo-home')),
      (result) => isExpected('demo-home')(result) && regionOfRun('demo-home') === 'north',
    ),
    report(
      'forwarded to another region',
      'demo-away',
      await crew.chat(west, chat('demo-away')),
      (result) => isExpected('demo-away')(result) && regionOfRun('demo-away') !== 'west',
    ),
  ].every(Boolean);
}

/** Retries a call while the entry is not ready, which means that the call was not run. */
function waitUntilServed(call: () => Promise<CallResult>): Promise<CallResult> {
  return waitFor(
    'the first call is served',
    async () => {
      const result = await call();
      if (result.complete) return result;
      return NOT_READY_CODES.includes(result.code) ? undefined : result;
    },
    SERVING_TIMEOUT_MS,
  );
}

/** Best entry, which is listed first. Other regions are listed after the first gossip exchange. */
function firstListedEntry(caller: Caller, address: string): Promise<ListedEntry> {
  return waitFor(
    `${address} lists an entry`,
    async () => (await caller.entries(address)).at(0),
    SERVING_TIMEOUT_MS,
  );
}

function chat(marker: string): ChatRequest {
  const content = `How is the king pole stayed? marker:${marker}`;
  return {
    model: 'crew-answers',
    stream: true,
    max_tokens: 24,
    messages: [{ role: 'user', content }],
  };
}

function isExpected(marker: string): (result: CallResult) => boolean {
  return (result) => result.complete && chatText(result) === expectedResponseText(chat(marker));
}

function bookedOnce(marker: string): boolean {
  return (
    fleet.runs().filter((run) => run.event === 'started' && run.marker === marker).length === 1
  );
}

/** Region of the target that ran the request, according to the run logs. */
function regionOfRun(marker: string): string {
  const run = fleet.runs().find((record) => record.event === 'started' && record.marker === marker);
  return fleet.layout.targets.find(({ vm }) => vm === run?.vm)?.region ?? 'none';
}

function report(
  title: string,
  marker: string,
  result: CallResult,
  check: (result: CallResult) => boolean,
): boolean {
  const ok = result.complete && check(result);
  const header = (name: string): string => String(result.headers[`marjoramcart-${name}`] ?? '-');
  print(`${title}: ${ok ? 'complete' : `FAILED ${result.status} ${result.error?.message ?? ''}`}`);
  print(`  entry:       ${header('entry')} in ${header('region')}`);
  print(`  target:      ${header('target')}`);
  print(`  region:      ${regionOfRun(marker)}`);
  print(`  code:        ${result.code}`);
  print(`  first token: ${Math.round(result.firstTokenMs)} ms`);
  return ok;
}

function entryAddresses(): { north: string; west: string } {
  const of = (region: string): string =>
    fleet.layout.entries.find((entry) => entry.region === region)?.callers ?? '';
  return { north: of('north'), west: of('west') };
}

async function keepRunning(): Promise<void> {
  const { north, west } = entryAddresses();
  const ownerEntry = await firstListedEntry(crew, north);
  const auth = `-H 'authorization: Bearer ${ExampleKeys['tent-crew']}'`;
  const body = JSON.stringify(chat('by-hand'));
  const key = makeKey(ownerEntry.key_prefix, 'by-hand-0001', 3500);
  print('\nThe fleet keeps running; press Ctrl-C to stop it. Example requests:\n');
  print(`curl -s http://${north}/v1/entries ${auth}\n`);
  print(`curl -sN http://${north}/v1/chat/completions ${auth} -d '${body}'\n`);
  print(`curl -siN http://${west}/v1/chat/completions ${auth} -d '${body}'\n`);
  print(
    `curl -si http://${ownerEntry.address}/svc/crane-booking/slots ${auth} -H 'idempotency-key: ${key}' -d '{"note":"marker:by-hand"}'\n`,
  );
  const platform = fleet.layout.platform.address;
  print(`curl -s http://${platform}/v1/vms\n`);
  await new Promise((resolve) => {
    if (stopped.signal.aborted) resolve(undefined);
    stopped.signal.addEventListener('abort', resolve);
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
