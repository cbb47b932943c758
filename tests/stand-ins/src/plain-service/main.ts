/** Stand-in for a plain service, such as booking. A run log records every executed request. */
import { Command } from 'commander';
import {
  readText,
  sendJson,
  serve,
  serveTestPort,
  type RequestContext,
} from '../common/http-server.js';
import { markerOf, RunLog } from '../common/run-log.js';

const options = new Command('plain-service')
  .requiredOption('--port <port>', 'port of the service', Number)
  .requiredOption('--test-port <port>', 'port for tests', Number)
  .requiredOption('--vm <name>', 'name of the VM')
  .requiredOption('--service <name>', 'name of the service')
  .requiredOption('--run-log <file>', 'run log, in JSON lines')
  .option('--delay-ms <ms>', 'duration of a request', Number, 5)
  .option('--concurrency <n>', 'concurrency in load reports', Number, 16)
  .parse()
  .opts<{
    port: number;
    testPort: number;
    vm: string;
    service: string;
    runLog: string;
    delayMs: number;
    concurrency: number;
  }>();

const settings = {
  delay_ms: options.delayMs,
  state: 'live' as 'live' | 'leaving',
  /** Closes a reused keep-alive connection on its second or later request without running it. */
  close_reused: false,
  /** Runs the request, then closes the connection without a response. */
  lose_answers: false,
};
const log = new RunLog(options.runLog, options.vm);
const requestCounts = new WeakMap<object, number>();
let running = 0;
let runs = 0;
let sequence = 0;

await serve(options.port, async (ctx) => {
  if (ctx.route === 'GET /load') sendLoad(ctx);
  else await handle(ctx);
});
await serveTestPort(options.testPort, settings);

function sendLoad({ res }: RequestContext): void {
  sequence += 1;
  sendJson(res, 200, {
    sequence,
    age_ms: 0,
    state: settings.state,
    kind: 'plain',
    services: [options.service],
    running,
    queued: 0,
    wait_ms: settings.delay_ms,
    concurrency: options.concurrency,
  });
}

async function handle({ req, res, route, url }: RequestContext): Promise<void> {
  const earlierRequests = requestCounts.get(req.socket) ?? 0;
  requestCounts.set(req.socket, earlierRequests + 1);
  if (settings.close_reused && earlierRequests > 0) {
    req.socket.destroy();
    return;
  }
  const body = await readText(req);
  const marker = markerOf(`${body} ${url.search}`);
  runs += 1;
  running += 1;
  const run = `${options.vm}-${runs}`;
  log.write({ event: 'started', marker, path: url.pathname, run, route });
  await new Promise((resolve) => {
    setTimeout(resolve, settings.delay_ms);
  });
  running -= 1;
  log.write({ event: 'finished', marker, path: url.pathname, run, route });
  if (settings.lose_answers) req.socket.destroy();
  else sendJson(res, 200, { booking: run, marker, service: options.service });
}
