/**
 * Stand-in for an inference engine: chat completions with resumable streams, load reports, prefix
 * cache events, model orders and transfer of KV cache blocks.
 */
import { randomUUID } from 'node:crypto';
import { Command } from 'commander';
import { seededRandom } from '@marjoramcart/core';
import {
  readBytes,
  readJson,
  sendJson,
  serve,
  serveTestPort,
  type RequestContext,
} from '../common/http-server.js';
import { markerOf, RunLog, type RunRecord } from '../common/run-log.js';
import type { ChatRequest } from './chat-completion.js';
import { Batch } from './batch.js';
import { Generation } from './generation.js';
import { ModelTable, type OrderMessage } from './model-table.js';
import { PrefixCache } from './prefix-cache.js';

/** Time for which a stream without a connection can be resumed. */
const RESUME_TIMEOUT_MS = 30_000;
/** A prompt that contains this word kills the process once it is prefilled. */
const CRASH_WORD = 'crash-the-target';
const KV_BYTES_PER_TOKEN = 1024;
const MAX_KV_BYTES = 256 * 1024 * 1024;

const options = new Command('engine')
  .requiredOption('--port <port>', 'port of the engine', Number)
  .requiredOption('--test-port <port>', 'port for tests', Number)
  .requiredOption('--vm <name>', 'name of the VM')
  .requiredOption('--run-log <file>', 'run log, in JSON lines')
  .option('--models <model:version...>', 'models that are ready at the start', [])
  .option('--checks-fencing', 'reject orders with an outdated fencing number', false)
  .option('--weights-url <url>', 'base URL of the weight store')
  .option('--token-ms <ms>', 'decode time per token', Number, 10)
  .option('--prefill-tokens-per-s <rate>', 'prefill speed, tokens per second', Number, 8000)
  .option('--concurrency <n>', 'maximum number of running requests', Number, 32)
  .option('--cache-tokens <n>', 'size of the prefix cache in tokens', Number, 20_000)
  .option('--load-lag-ms <ms>', 'time between load reports', Number, 100)
  .option('--seed <n>', 'seed of the random loss of cache events', Number, 1)
  .parse()
  .opts<{
    port: number;
    testPort: number;
    vm: string;
    runLog: string;
    models: string[];
    checksFencing: boolean;
    weightsUrl?: string;
    tokenMs: number;
    prefillTokensPerS: number;
    concurrency: number;
    cacheTokens: number;
    loadLagMs: number;
    seed: number;
  }>();

const settings = {
  token_ms: options.tokenMs,
  prefill_tokens_per_s: options.prefillTokensPerS,
  concurrency: options.concurrency,
  load_lag_ms: options.loadLagMs,
  cache_event_delay_ms: 500,
  cache_event_loss: 0.1,
  state: 'live' as 'live' | 'leaving',
  fail_versions: [] as string[],
};

const log = new RunLog(options.runLog, options.vm);
const cache = new PrefixCache({
  maxTokens: options.cacheTokens,
  eventDelayMs: () => settings.cache_event_delay_ms,
  eventLoss: () => settings.cache_event_loss,
  random: seededRandom(options.seed),
});
const models = new ModelTable(
  options.models,
  options.checksFencing,
  options.weightsUrl,
  (version) => settings.fail_versions.includes(version),
);
const streams = new Map<string, Generation>();
const batch = new Batch(settings, onPrefilled, onEnd);
const report = { sequence: 0, createdAt: -Infinity, body: {} };

await serve(options.port, handle);
await serveTestPort(options.testPort, settings);

async function handle(ctx: RequestContext): Promise<void> {
  const { req, res, route, url } = ctx;
  const [, resource, prefix] = url.pathname.split('/');
  if (route === 'POST /v1/chat/completions') await startRequest(ctx);
  else if (url.pathname.startsWith('/v1/streams/')) handleStream(ctx);
  else if (route === 'GET /load') sendLoad(ctx);
  else if (route === 'GET /cache/events') {
    sendJson(res, 200, cache.eventsAfter(Number(url.searchParams.get('after') ?? 0)));
  } else if (route === 'POST /orders') {
    const accepted = models.apply(await readJson<OrderMessage>(req));
    if (accepted) sendJson(res, 202, { accepted });
    else sendJson(res, 409, { highest_fencing: models.highestFencing });
  } else if (resource === 'kv' && prefix) await handleKv(ctx, prefix);
  else sendJson(res, 404, { error: { message: 'no such path' } });
}

async function startRequest({ req, res }: RequestContext): Promise<void> {
  const body = await readJson<ChatRequest>(req);
  if (!models.isReady(body.model)) {
    sendJson(res, 404, { error: { message: `model ${body.model} is not ready here` } });
    return;
  }
  const generation = new Generation(randomUUID(), body, (prefix) => cache.cachedTokensOf(prefix));
  streams.set(generation.id, generation);
  record('started', generation);
  attach(generation, req.socket.destroyed ? undefined : res);
  batch.add(generation);
}

/**
 * Connects a request to a response. When the connection closes, a stream can be resumed for
 * `RESUME_TIMEOUT_MS`; any other request is cancelled.
 */
function attach(
  generation: Generation,
  res: RequestContext['res'] | undefined,
  lastEventId = 0,
): void {
  if (!res) {
    batch.cancel(generation);
    return;
  }
  generation.attach(res, lastEventId);
  res.on('close', () => {
    if (!generation.detach(res)) return;
    if (!generation.req.stream && !generation.done) batch.cancel(generation);
    else setTimeout(() => expire(generation), RESUME_TIMEOUT_MS).unref();
  });
}

function expire(generation: Generation): void {
  if (generation.attached) return;
  if (!generation.done) batch.cancel(generation);
  streams.delete(generation.id);
}

function handleStream({ req, res, url }: RequestContext): void {
  const generation = streams.get(url.pathname.slice('/v1/streams/'.length));
  if (!generation || generation.cancelled) {
    sendJson(res, 404, { error: { message: 'no such stream' } });
  } else if (req.method === 'DELETE') {
    if (!generation.done) batch.cancel(generation);
    streams.delete(generation.id);
    sendJson(res, 200, {});
  } else attach(generation, res, Number(req.headers['last-event-id'] ?? 0));
}

function onPrefilled(generation: Generation): void {
  // SIGKILL cannot be handled, so the process ends as in a crash.
  if (generation.prompt.includes(CRASH_WORD)) process.kill(process.pid, 'SIGKILL');
  cache.store(generation.prefix, generation.promptTokens);
}

function onEnd(generation: Generation): void {
  record(generation.cancelled ? 'cancelled' : 'finished', generation);
  if (!generation.req.stream || generation.cancelled) streams.delete(generation.id);
}

function record(event: RunRecord['event'], generation: Generation): void {
  log.write({
    event,
    marker: markerOf(generation.prompt),
    path: '/v1/chat/completions',
    run: generation.id,
    model: generation.req.model,
    priority: generation.priority,
    prompt_tokens: generation.promptTokens,
    to_prefill: generation.remainingPrefillTokens,
  });
}

function sendLoad({ res }: RequestContext): void {
  const now = performance.now();
  if (now - report.createdAt >= settings.load_lag_ms) {
    report.sequence += 1;
    report.createdAt = now;
    report.body = {
      kind: 'engine',
      running: batch.runningCount,
      queued: batch.queuedCount,
      wait_ms: batch.waitMs,
      concurrency: settings.concurrency,
      role: models.role,
      highest_fencing: models.highestFencing,
      models: models.models,
    };
  }
  const { sequence } = report;
  const ageMs = Math.round(now - report.createdAt);
  sendJson(res, 200, { sequence, age_ms: ageMs, state: settings.state, ...report.body });
}

async function handleKv({ req, res }: RequestContext, prefix: string): Promise<void> {
  if (req.method === 'PUT') {
    const data = await readBytes(req, MAX_KV_BYTES);
    cache.store(prefix, Math.floor(data.length / KV_BYTES_PER_TOKEN));
    sendJson(res, 200, {});
    return;
  }
  const tokens = cache.cachedTokensOf(prefix);
  if (tokens === 0) sendJson(res, 404, { error: { message: 'not cached' } });
  else
    res
      .writeHead(200, { 'content-type': 'application/octet-stream' })
      .end(Buffer.alloc(tokens * KV_BYTES_PER_TOKEN));
}
