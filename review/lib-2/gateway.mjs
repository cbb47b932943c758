/** A gateway with the command of the deploy file, and settings like those of a small deployment. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { send } from './client.mjs';
import { BASE_PORT, ROOT, ip, sleep } from './net.mjs';

/** The gateway of one machine, in a process of its own. */
export class Gateway {
  constructor(store, { n, zone, zones, bounds = {}, memoryMb = 350 }) {
    const host = ip(0, n);
    this.node = `front-${zone}-${n}`;
    this.front = `${host}:${BASE_PORT}`;
    this.ready = `${host}:${BASE_PORT + 1}`;
    this.directory = `${host}:${BASE_PORT + 2}`;
    this.settings = { store, host, zone, zones, bounds, memoryMb };
    this.log = '';
  }

  async start() {
    const { store, host, zone, zones, bounds, memoryMb } = this.settings;
    this.folder ??= await mkdtemp(join(tmpdir(), 'review-gateway-'));
    const file = join(this.folder, 'boot.toml');
    const all = {
      seedLagS: 3,
      reuseAfterS: 2,
      stabilityMs: 6000,
      ackMs: 8000,
      catchUpS: 4,
      drainMs: 4000,
      graceS: 8,
      lossSlackMs: 200,
      configApplyMs: 4000,
      downgradeSlackMs: 250,
      maxSkewMs: 10000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      retrySlack: 54,
      coldOverage: 1.5,
      coldSlack: 3,
      evacuateMs: 5000,
      recoveryS: 12,
      passMs: 800,
      reuseWindowS: 10,
      ttl_max_s: 5,
      ...bounds,
    };
    await writeFile(
      file,
      `node = "${this.node}"
role = "gateway"
machineClass = "front"
serves = ["front","control","directory"]
ip = "${host}"
zone = "${zone}"
region = "${zones[zone]}"
internalPorts = [${BASE_PORT + 4},${BASE_PORT + 10}]
seeds = ["${ip(0, 1)}:${BASE_PORT + 3}"]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","platform"]
[zones]
${Object.entries(zones)
  .map(([name, region]) => `${name} = "${region}"`)
  .join('\n')}
[listen]
front = "${this.front}"
ready = "${this.ready}"
control = "${host}:${BASE_PORT + 3}"
directory = "${this.directory}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = ${memoryMb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 1
[bounds]
${Object.entries(all)
  .map(([name, value]) => `${name} = ${value}`)
  .join('\n')}
[platform]
address = "${store.address}"
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`,
    );
    const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MARJORAMCART_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (data) => {
      this.log += String(data);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.child.on('exit', (code, signal) => {
      this.end = signal ?? code;
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    const answer = await send(this.ready, { method: 'GET', path: '/api/ready' });
    return answer.status === 200;
  }

  async untilReady(maxMs = 15000) {
    const limit = Date.now() + maxMs;
    // Each check follows the one before.
    // eslint-disable-next-line no-await-in-loop
    while (!(await this.isReady())) {
      if (Date.now() > limit) throw new Error(`${this.node} is not ready: ${this.log.slice(-500)}`);
      // eslint-disable-next-line no-await-in-loop
      await sleep(100);
    }
  }

  async close() {
    if (this.child && this.end === undefined) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
    }
    if (this.folder) await rm(this.folder, { recursive: true, force: true });
  }
}
