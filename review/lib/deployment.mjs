/**
 * A small deployment on loopback addresses: the stand-in of the store, the gateways as processes
 * started with the command of the deploy file, and stand-ins of runners. Names, routes and bounds are
 * those of the sheet of `triscado` in SYSTEM.md.
 */
import { spawn } from 'node:child_process';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const HOST = 'ficu95.example';
export const MODEL = 'asesor-afilado';
export const PLAIN = 'taller-ordenes';
export const ZONES = { 'biobio-a': 'biobio', 'araucania-a': 'araucania', 'los-rios-a': 'los-rios' };
const STORE_IP = '127.3.0.1';
const READY_MS = 30_000;
const PORTS_TRIED = 200;
const BINDS_TRIED = 5;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export function config(version) {
  const route = (name, kind, service, timeoutMs, targetLatencyMs, more) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeoutMs,
    targetLatencyMs,
    priority: 2,
    maxAttempts: 2,
    homeRegions: [],
    ...more,
  });
  const stream = { sticky: true, targetGapMs: 300 };
  return {
    version,
    routes: [
      route('diagnostico-sierra', 'streaming', MODEL, 12_000, 1200, { ...stream, resumable: true }),
      route('consulta-triscado', 'streaming', MODEL, 12_000, 600, {
        ...stream,
        resumable: false,
        maxAttempts: 1,
        priority: 1,
      }),
      route('despacho-hoja', 'unsafe', PLAIN, 3000, 400, { maxAttempts: 1 }),
      route('estado-orden', 'safe', PLAIN, 3000, 400, {}),
    ],
    services: [
      {
        name: MODEL,
        healthPath: '/healthz',
        maxConnections: 360,
        protocol: 'h1',
        tls: false,
        warmupS: 3,
        coldPerS: 2.9,
        engine: { slots: 64, kvCapacityTokens: 436_910, models: [{ name: 'm' }] },
      },
      {
        name: PLAIN,
        healthPath: '/healthz',
        maxConnections: 96,
        protocol: 'h1',
        tls: false,
        warmupS: 0,
        coldPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

const BOUNDS = `seedLagS = 3
reuseAfterS = 2
stabilityMs = 6000
ackMs = 8000
catchUpS = 4
drainMs = 4000
graceS = 8
lossSlackMs = 200
configApplyMs = 4000
downgradeSlackMs = 250
maxSkewMs = 10000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 52
coldOverage = 1.5
coldSlack = 3
evacuateMs = 5000
recoveryS = 12
passMs = 800
reuseWindowS = 10
ttl_max_s = 5`;

function settingsOf({ node, ip, zone }, base, seeds) {
  const at = (offset) => `"${ip}:${base + offset}"`;
  return `node = "${node}"
role = "gateway"
machineClass = "front"
serves = ["front","control","directory"]
ip = "${ip}"
zone = "${zone}"
region = "${ZONES[zone]}"
internalPorts = [${base + 4},${base + 12}]
seeds = [${seeds.map((seed) => `"${seed}:${base + 3}"`).join(',')}]
bootstrap = true
[zones]
${Object.entries(ZONES)
  .map(([name, region]) => `${name} = "${region}"`)
  .join('\n')}
[listen]
front = ${at(0)}
ready = ${at(1)}
control = ${at(3)}
directory = ${at(2)}
[faultTolerance]
machines = 1
zones = 1
regions = 1
[bounds]
${BOUNDS}
[platform]
address = "${STORE_IP}:${base + 13}"
form = "read"
readsPerS = 2000
historyS = 20
`;
}

/** The command of the deploy file. */
async function gatewayCommand() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function freeBase(ips, tries = PORTS_TRIED) {
  if (tries === 0) throw new Error('no free ports');
  const base = 20_000 + Math.floor(Math.random() * 600) * 20;
  const offsets = Array.from({ length: 16 }, (_, index) => index);
  const free = await Promise.all(
    ips.flatMap((ip) => offsets.map((offset) => isFree(ip, base + offset))),
  );
  return free.every(Boolean) ? base : freeBase(ips, tries - 1);
}

/** Sends a request as a client; resolves with the status, or `closed` or `no answer`. */
export function request(address, { path, id, headers = {}, body, deadlineMs, agent = false }) {
  const [host, port] = address.split(':');
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const finish = (result) =>
      resolve({ ...result, ms: Math.round(performance.now() - startedAt) });
    const req = http.request(
      {
        host,
        port,
        path,
        agent,
        method: body === undefined ? 'GET' : 'POST',
        headers: {
          Host: HOST,
          'Request-Id': id,
          'Deadline-Ms': String(deadlineMs),
          ...headers,
          ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        const end = () =>
          finish({
            end: res.complete ? String(res.statusCode) : 'closed',
            headers: res.headers,
            body: Buffer.concat(chunks).toString('latin1'),
          });
        res.on('end', end);
        res.on('error', end);
      },
    );
    const timer = setTimeout(() => {
      finish({ end: 'no answer' });
      req.destroy();
    }, deadlineMs);
    req.on('error', () => finish({ end: 'closed' }));
    req.on('close', () => clearTimeout(timer));
    req.end(body);
  });
}

export class Deployment {
  /** @param folder folder of the case, which gets record.txt */
  constructor(folder) {
    this.recordFile = join(folder, 'record.txt');
    this.lines = [];
    this.startedAt = performance.now();
    this.store = new Store();
    this.runners = [];
    this.gateways = [];
    this.children = [];
    this.stopping = false;
  }

  log(text) {
    const ms = Math.round(performance.now() - this.startedAt);
    this.lines.push(`${(ms / 1000).toFixed(3).padStart(8)} s  ${text}`);
  }

  /** Starts the store and the gateways, `perZone` in each zone, and waits until all are ready. */
  async start(perZone, runners) {
    const gateways = Object.keys(ZONES).flatMap((zone, zoneIndex) =>
      Array.from({ length: perZone }, (_, index) => ({
        node: `front-${zone}-${index + 1}`,
        zone,
        ip: `127.1.${zoneIndex + 1}.${index + 1}`,
      })),
    );
    const ips = [...gateways.map(({ ip }) => ip), ...runners.map(({ host }) => host), STORE_IP];
    this.runners = runners;
    await this.bind([...new Set(ips)]);
    this.store.put('op/config', config(7));
    runners.forEach((runner) => this.store.put(`servers/${runner.id}`, runner.entry()));
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    const seeds = Object.keys(ZONES).map((_, index) => `127.1.${index + 1}.1`);
    this.gateways = await Promise.all(gateways.map((gateway) => this.startGateway(gateway, seeds)));
    const until = performance.now() + READY_MS;
    await Promise.all(this.gateways.map((gateway) => this.untilReady(gateway, until)));
    this.log(`all ${this.gateways.length} gateways are ready`);
  }

  /** Binds the stand-ins to free ports; other ones if another program takes one of them meanwhile. */
  async bind(ips, tries = BINDS_TRIED) {
    this.base = await freeBase(ips);
    try {
      await this.store.listen(STORE_IP, this.base + 13);
      this.runners.forEach((runner) => Object.assign(runner, { port: this.base + 14 }));
      await Promise.all(this.runners.map((runner) => runner.start()));
    } catch (err) {
      if (tries === 0) throw err;
      this.store.close();
      this.runners.filter(({ up }) => up).forEach((runner) => runner.stop());
      await sleep(200);
      await this.bind(ips, tries - 1);
    }
  }

  async startGateway(gateway, seeds) {
    const folder = join(this.folder, gateway.node);
    await mkdir(folder);
    const file = join(folder, 'boot.toml');
    await writeFile(file, settingsOf(gateway, this.base, seeds));
    const [program, ...args] = await gatewayCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, MARJORAMCART_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.children.push(child);
    const output = [];
    child.stdout.on('data', (chunk) => output.push(chunk));
    child.on('exit', (code, signal) => {
      if (!this.stopping) this.log(`${gateway.node} ended: ${code ?? signal}`);
    });
    return { ...gateway, child, output, front: `${gateway.ip}:${this.base}` };
  }

  async untilReady(gateway, until) {
    const address = `${gateway.ip}:${this.base + 1}`;
    const { end } = await request(address, { path: '/api/ready', id: 'ready', deadlineMs: 1000 });
    if (end === '200') return;
    if (performance.now() > until) throw new Error(`${gateway.node} is not ready: ${end}`);
    await sleep(100);
    await this.untilReady(gateway, until);
  }

  /** Ends all processes and writes the record. */
  async stop() {
    this.stopping = true;
    await Promise.all(
      this.children.map(
        (child) =>
          new Promise((resolve) => {
            if (child.exitCode !== null || child.signalCode !== null) resolve();
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      ),
    );
    this.runners.filter(({ up }) => up).forEach((runner) => runner.stop());
    this.store.close();
    await writeFile(this.recordFile, `${this.lines.join('\n')}\n`);
    if (this.folder) await rm(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param body gets the deployment and whether to cause the disruption; returns whether the rule held
 */
export async function runCase(folder, body) {
  const deployment = new Deployment(folder);
  const trouble = process.env.TROUBLE !== '0';
  deployment.log(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let code = 2;
  process.once('uncaughtException', (err) => {
    deployment.log(`RESULT: the case could not run: ${err.stack}`);
    // eslint-disable-next-line n/no-process-exit
    void deployment.stop().finally(() => process.exit(2));
  });
  try {
    const held = await body(deployment, trouble);
    code = held ? 0 : 1;
    deployment.log(held ? 'RESULT: the rule held' : 'RESULT: the rule was broken');
  } catch (err) {
    deployment.log(`RESULT: the case could not run: ${err.stack}`);
  }
  await deployment.stop();
  // A request that is never answered would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
