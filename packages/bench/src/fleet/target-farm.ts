/**
 * Simulates many engines in one process. Each has its own loopback address and serves load reports,
 * orders and chat completions, whose events are sent with the pacing that the prompt asks for.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { Command } from 'commander';
import { seededRandom } from '@marjoramcart/core';
import { farmAddress, parsePacing } from './farm-protocol.js';

const options = new Command('target-farm')
  .requiredOption('--port <port>', 'port of all engines', Number)
  .requiredOption('--count <n>', 'number of engines', Number)
  .option('--models <names>', 'models separated by commas; assigned to the engines round-robin', '')
  .parse()
  .opts<{ port: number; count: number; models: string }>();

const REPORT_INTERVAL_MS = 100;
const CONCURRENCY = 32;
const random = seededRandom(1);

interface Engine {
  readonly models: Set<string>;
  running: number;
}

interface Order {
  readonly order: { readonly kind: string; readonly model?: string };
}

function sendJson(res: ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

function loadReport({ models, running }: Engine): object {
  return {
    sequence: Math.floor(performance.now() / REPORT_INTERVAL_MS),
    age_ms: Math.floor(performance.now() % REPORT_INTERVAL_MS),
    state: 'live',
    kind: 'engine',
    running: Math.round(running),
    queued: 0,
    wait_ms: Math.round(running * 4),
    concurrency: CONCURRENCY,
    role: 'mixed',
    highest_fencing: 0,
    models: [...models].map((model) => ({ model, version: '1', adapters: [], state: 'ready' })),
  };
}

function frame(n: number): string {
  return `id: ${n}\ndata: {"choices":[{"index":0,"delta":{"content":" word"}}]}\n\n`;
}

/** Streams the events with the pacing of the prompt; without an interval, respects back-pressure. */
function stream(res: ServerResponse, prompt: string): void {
  const { tokens, intervalMs } = parsePacing(prompt);
  const state = { sent: 0 };
  res.writeHead(200, { 'content-type': 'text/event-stream', 'stream-id': `s-${Math.random()}` });
  const step = (): void => {
    if (res.destroyed) return;
    if (state.sent === tokens) {
      res.end('data: [DONE]\n\n');
      return;
    }
    state.sent += 1;
    const flowing = res.write(frame(state.sent));
    if (intervalMs > 0) setTimeout(step, intervalMs);
    else if (flowing) setImmediate(step);
    else res.once('drain', step);
  };
  step();
}

async function handle(engine: Engine, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const route = `${req.method} ${req.url?.split('?')[0]}`;
  if (route === 'GET /load') sendJson(res, 200, loadReport(engine));
  else if (route === 'POST /orders') {
    const { order } = JSON.parse(await readText(req)) as Order;
    if (order.model && order.kind === 'load') engine.models.add(order.model);
    if (order.model && order.kind === 'unload') engine.models.delete(order.model);
    sendJson(res, 202, { accepted: true });
  } else if (route === 'POST /v1/chat/completions') stream(res, await readText(req));
  else sendJson(res, 404, { error: 'no such path' });
}

const initialModels = options.models.split(',').filter((name) => name !== '');
const engines = Array.from({ length: options.count }, (_, n) => ({
  models: new Set([initialModels[n % initialModels.length] ?? '']),
  running: random.next() * CONCURRENCY,
}));
setInterval(() => {
  engines.forEach((item) => {
    const engine = item;
    const next = engine.running + (random.next() - 0.5);
    engine.running = Math.min(CONCURRENCY, Math.max(0, next));
  });
}, REPORT_INTERVAL_MS);
engines.forEach((engine, n) => {
  const server = http.createServer((req, res) => {
    handle(engine, req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.listen(options.port, farmAddress(n, options.port).split(':')[0]);
});
