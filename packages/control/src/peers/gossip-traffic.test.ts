import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  buildSnapshot,
  mainPartSchema,
  proberRank,
  quantise,
  seededRandom,
  type ProcessRef,
  type RpcMethod,
  type VmRecord,
} from '@marjoramcart/core';
import { ManualTimerService, Metrics, encodeBody, silentLogger } from '@marjoramcart/platform';
import { controlMetrics } from '../control-metrics.js';
import { ControlState } from '../control-state.js';
import { GossipTask } from './gossip-task.js';

const DOMAINS = 28;
const CONTROLS = 11;
const TARGETS = 40;
const MODELS = 11;
const WARM_UP_S = 6;
const MEASURED_S = 6;
const BUDGET_BYTES_PER_S = 7 * 1024;
/** Headers of a request and of an answer, as the metrics count them. */
const HEADER_BYTES = { request: 340, answer: 145 };

const domainName = (index: number): string => `r${index % 12}-${index}`;
const targetName = (domain: number, index: number): string => `t${domain}-${index}`;

const services = Object.fromEntries(
  Array.from({ length: MODELS }, (_, index) => [
    `service-${index}`,
    { kind: 'model', model: `model-${index}`, regions: ['r0'] },
  ]),
);
const main = mainPartSchema.parse({ format: 1, regions: {}, services, classes: {} });

/** A fleet of control daemons whose messages are counted and delivered in this process. */
class Fleet {
  readonly timers = new ManualTimerService();

  readonly bytes = new Map<string, number>();

  readonly nodes = new Map<string, { state: ControlState; gossip: GossipTask }>();

  private readonly random = seededRandom(11);

  private pending = 0;

  constructor() {
    const vms = Array.from({ length: DOMAINS }, (_, domain) => domainVms(domain)).flat();
    const metrics = controlMetrics(new Metrics());
    const snapshot = buildSnapshot(1, main, []);
    vms
      .filter(({ role }) => role === 'entry')
      .forEach(({ vm, region, failureDomain, address }, index) => {
        const process: ProcessRef = {
          bootId: `k3f7q2mvxw5tz4h6ydbn-mx8${index}`,
          role: 'control',
          vm,
          region,
          failureDomain,
          peerAddress: address,
        };
        const state = new ControlState(process, this.timers);
        state.takeSnapshot(snapshot, 'own-domain');
        state.takeVms({ version: 1, vms }, 'own-domain');
        const rpc = {
          call: (to: string, method: RpcMethod, params: unknown) =>
            this.deliver(address, to, method, params),
          close: () => {},
        };
        const gossip = new GossipTask({
          state,
          rpc: rpc as never,
          seeds: [],
          seed: index,
          metrics,
          log: silentLogger(),
        });
        void gossip.start();
        this.nodes.set(address, { state, gossip });
      });
  }

  /** One second: each control daemon probes its targets, hears its entries and gossips. */
  async second(): Promise<void> {
    this.nodes.forEach(({ state }) => this.observe(state));
    this.timers.advance(1000);
    while (this.pending > 0) {
      // Messages are delivered within the second in which they were sent.
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private observe(state: ControlState): void {
    const nowMs = this.timers.now();
    const { self } = state;
    const openRequests = 100 + this.random.next() * 40;
    const load = { openRequests, queued: 0, draining: false };
    const entry = { ...self, bootId: `e-${self.bootId}`, role: 'entry' as const };
    const process = { ...entry, callerAddress: `${self.peerAddress}1` };
    state.members.registerEntry(process, load, 1, nowMs);
    const live = state.liveControlIds();
    state.targets.targets.forEach(({ vm }, index) => {
      const rank = proberRank(vm, self.bootId, live);
      if (rank !== 0) {
        state.members.withdrawTarget(vm);
        return;
      }
      const item = {
        services: [`service-${index % MODELS}`],
        leaving: false,
        running: quantise(12 + this.random.next() * 20),
        queued: quantise(this.random.next() * 4),
        waitMs: quantise(100 + this.random.next() * 300),
        concurrency: 32,
        sequence: Math.round(nowMs / 1000) + 100_000,
        ageMs: Math.round(this.random.next() * 4) * 100,
        models: [`model-${index % MODELS}@7:ready`],
      };
      state.targets.recordReport(vm, item, nowMs);
      state.members.publishTarget({ vm, failures: 0, ...item }, nowMs);
    });
  }

  private async deliver(from: string, to: string, method: RpcMethod, params: unknown) {
    this.pending += 1;
    try {
      const node = this.nodes.get(to);
      if (!node || method !== 'gossip.exchange') {
        return { kind: 'error', error: { kind: 'unreachable', message: '' } };
      }
      const request = await encodeBody(JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }));
      this.count(from, to, request.data.length + HEADER_BYTES.request);
      const value = node.gossip.answer(params as never);
      const answer = await encodeBody(JSON.stringify({ jsonrpc: '2.0', id: 1, result: value }));
      this.count(to, from, answer.data.length + HEADER_BYTES.answer);
      return { kind: 'ok', value };
    } finally {
      this.pending -= 1;
    }
  }

  private count(from: string, to: string, bytes: number): void {
    this.bytes.set(`${from} sent`, (this.bytes.get(`${from} sent`) ?? 0) + bytes);
    this.bytes.set(`${to} received`, (this.bytes.get(`${to} received`) ?? 0) + bytes);
  }
}

function domainVms(domain: number): VmRecord[] {
  const place = { region: `r${domain % 12}`, failureDomain: domainName(domain) };
  const controls = Array.from({ length: CONTROLS }, (_, index) => ({
    vm: `vm-${domain}-${index}`,
    role: 'entry' as const,
    state: 'live' as const,
    address: `10.${domain}.0.${index}:7001`,
    ...place,
  }));
  const targets = Array.from({ length: TARGETS }, (_, index) => ({
    vm: targetName(domain, index),
    role: 'target' as const,
    state: 'live' as const,
    address: `10.${domain}.1.${index}:9000`,
    target: { kind: 'engine' as const },
    ...place,
  }));
  return [...controls, ...targets];
}

test('a daemon stays within 7 KB/s at 28 failure domains, 308 daemons and 1,120 targets', async (t) => {
  const fleet = new Fleet();
  const seconds = async (count: number): Promise<void> => {
    if (count === 0) return;
    await fleet.second();
    await seconds(count - 1);
  };
  await seconds(WARM_UP_S);
  fleet.bytes.clear();
  await seconds(MEASURED_S);
  const mean = (direction: string): number => {
    const values = [...fleet.bytes].filter(([name]) => name.endsWith(direction));
    return values.reduce((sum, [, bytes]) => sum + bytes, 0) / values.length / MEASURED_S;
  };
  const sent = mean('sent');
  const received = mean('received');
  t.diagnostic(`${Math.round(sent)} B/s sent, ${Math.round(received)} B/s received a daemon`);
  const ages = [...fleet.nodes.values()].flatMap(({ state }) =>
    state.summaries.fresh(fleet.timers.now()).map(({ ageMs }) => ageMs),
  );
  t.diagnostic(
    `summaries: ${ages.length / fleet.nodes.size} fresh, oldest ${Math.max(...ages)} ms`,
  );
  const known = [...fleet.nodes.values()].map(
    ({ state }) => state.targets.states(fleet.timers.now()).filter(({ healthy }) => healthy).length,
  );
  assert.equal(Math.min(...known), TARGETS);
  assert.equal(ages.length, DOMAINS * fleet.nodes.size);
  assert.ok(sent + received <= BUDGET_BYTES_PER_S, `${sent + received} B/s`);
});
