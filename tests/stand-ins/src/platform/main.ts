/** Stand-in for the platform: configuration service, VM list, client directory, weight store. */
import { Command } from 'commander';
import type { VmRecord } from '@marjoramcart/core';
import {
  readJson,
  readText,
  sendJson,
  serve,
  serveTestPort,
  type RequestContext,
} from '../common/http-server.js';
import { ConfigStore, MAX_VALUE_BYTES } from './config-store.js';
import { VmListStore } from './vm-list-store.js';
import { WeightStore } from './weight-store.js';

const RATE_WINDOW_MS = 1000;

const options = new Command('platform')
  .requiredOption('--port <port>', 'port of the services', Number)
  .requiredOption('--test-port <port>', 'port for tests', Number)
  .option('--vm-lag-ms <ms>', 'delay until a change of the VM list is visible', Number, 0)
  .option('--weights-mbit <rate>', 'rate limit of the weight store, Mbit/s', Number, 1000)
  .option('--weights-mb <size>', 'size of the weights of each model, MB', Number, 1)
  .option(
    '--calls-per-s <rate>',
    'rate limit of the configuration service, calls per second',
    Number,
    2000,
  )
  .parse()
  .opts<{
    port: number;
    testPort: number;
    vmLagMs: number;
    weightsMbit: number;
    weightsMb: number;
    callsPerS: number;
  }>();

type ServiceState = 'up' | 'down' | 'stale';

const settings = {
  vm_lag_ms: options.vmLagMs,
  weights_mbit_per_s: options.weightsMbit,
  weights_mb: options.weightsMb,
  calls_per_s: options.callsPerS,
  /** Number of revisions that a stale configuration service lags behind the start of staleness. */
  stale_behind: 0,
};
const states: Record<string, ServiceState> = {
  config: 'up',
  vms: 'up',
  directory: 'up',
  weights: 'up',
};
const config = new ConfigStore();
const vms = new VmListStore();
const weights = new WeightStore(() => settings.weights_mbit_per_s);
const calls = { range: 0, watch: 0, refused: 0, pending_watches: 0 };
const rateWindow = { startedAt: 0, count: 0 };
let directory: unknown[] = [];

await serve(options.port, (ctx) => {
  const service = serviceOf(ctx.url.pathname);
  if (states[service] === 'down') ctx.res.destroy();
  else if (service === 'config' && !countConfigCall(ctx))
    sendJson(ctx.res, 429, { error: 'rate limit' });
  else handle(ctx);
});
await serveTestPort(options.testPort, settings, handleTest);

function serviceOf(path: string): string {
  if (path.startsWith('/v1/vms')) return 'vms';
  if (path.startsWith('/v1/weights')) return 'weights';
  return path === '/v1/directory' ? 'directory' : 'config';
}

/** Counts a call of the configuration service; returns false if it exceeds the rate limit. */
function countConfigCall({ url }: RequestContext): boolean {
  const now = performance.now();
  if (now - rateWindow.startedAt >= RATE_WINDOW_MS)
    Object.assign(rateWindow, { startedAt: now, count: 0 });
  rateWindow.count += 1;
  const allowed = rateWindow.count <= settings.calls_per_s;
  if (!allowed) calls.refused += 1;
  else if (url.pathname === '/v1/watch') calls.watch += 1;
  else calls.range += 1;
  return allowed;
}

function handle(ctx: RequestContext): void {
  const { res, url, route } = ctx;
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = Number(url.searchParams.get('after') ?? 0);
  if (route === 'GET /v1/range') {
    sendJson(res, 200, { revision: config.revision, values: config.range(prefix, after) });
  } else if (route === 'GET /v1/watch') {
    calls.pending_watches += 1;
    watch(
      ctx,
      after,
      () => config.revision,
      (fn) => config.onChange(fn),
      () => {
        calls.pending_watches -= 1;
        return { revision: config.revision };
      },
    );
  } else if (route === 'GET /v1/vms') {
    sendJson(res, 200, { version: vms.version, vms: vms.vms });
  } else if (route === 'GET /v1/vms/watch') {
    watch(
      ctx,
      after,
      () => vms.version,
      (fn) => vms.onChange(fn),
      () => ({ version: vms.version }),
    );
  } else if (route === 'GET /v1/directory') sendJson(res, 200, { entries: directory });
  else if (route.startsWith('GET /v1/weights/')) weights.stream(res, settings.weights_mb);
  else sendJson(res, 404, { error: 'no such path' });
}

/** Long poll: responds once the version is above `after`, or after `wait_ms`. */
function watch(
  { req, res, url }: RequestContext,
  after: number,
  version: () => number,
  subscribe: (fn: () => void) => () => void,
  onEnd: () => object,
): void {
  const waitMs = Number(url.searchParams.get('wait_ms') ?? 30_000);
  const pending: { done: boolean; timer?: NodeJS.Timeout; unsubscribe?: () => void } = {
    done: false,
  };
  const finish = (): void => {
    if (pending.done) return;
    pending.done = true;
    clearTimeout(pending.timer);
    pending.unsubscribe?.();
    const body = onEnd();
    if (!res.destroyed) sendJson(res, 200, body);
  };
  const check = (): void => {
    if (version() > after) finish();
  };
  pending.unsubscribe = subscribe(check);
  pending.timer = setTimeout(finish, waitMs);
  req.on('close', () => res.destroyed && finish());
  res.on('close', finish);
  check();
}

async function handleTest({ req, res, url, route }: RequestContext): Promise<void> {
  if (route === 'GET /calls') {
    sendJson(res, 200, { ...calls, total: calls.range + calls.watch + calls.refused });
  } else if (route.startsWith('PUT /values/')) {
    const value = await readText(req);
    const tooLarge = Buffer.byteLength(value) > MAX_VALUE_BYTES;
    if (tooLarge) sendJson(res, 413, { error: 'a value is at most 1 MB' });
    else sendJson(res, 200, { revision: config.put(url.pathname.slice('/values/'.length), value) });
  } else if (route.startsWith('DELETE /values/')) {
    sendJson(res, 200, { revision: config.put(url.pathname.slice('/values/'.length), null) });
  } else if (route === 'PUT /vms') {
    const list = await readJson<VmRecord[]>(req);
    vms.change(() => list, settings.vm_lag_ms);
    sendJson(res, 200, {});
  } else if (route.startsWith('PATCH /vms/')) {
    const name = url.pathname.slice('/vms/'.length);
    const patch = await readJson<Partial<VmRecord> & { gone?: boolean }>(req);
    vms.change((list) => patchVm(list, name, patch), settings.vm_lag_ms);
    sendJson(res, 200, {});
  } else if (route === 'PUT /directory') {
    directory = await readJson<unknown[]>(req);
    sendJson(res, 200, {});
  } else if (route === 'POST /states') {
    Object.assign(states, await readJson<Record<string, ServiceState>>(req));
    config.setStale(states.config === 'stale', settings.stale_behind);
    vms.setStale(states.vms === 'stale');
    sendJson(res, 200, states);
  } else sendJson(res, 404, { error: 'no such path' });
}

function patchVm(
  list: VmRecord[],
  name: string,
  patch: Partial<VmRecord> & { gone?: boolean },
): VmRecord[] {
  if (patch.gone) return list.filter(({ vm }) => vm !== name);
  return list.map((record) => (record.vm === name ? { ...record, ...patch } : record));
}
