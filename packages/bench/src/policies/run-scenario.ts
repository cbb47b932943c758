/** Simulates the regions of a user under one scenario with one policy combination. */
import {
  LinkBudget,
  seededRandom,
  type DomainDecision,
  type DomainOption,
  type DomainPolicy,
  type RandomSource,
} from '@marjoramcart/core';
import { FakeLink } from '../fakes/fake-link.js';
import { FakeReports, meanOf } from '../fakes/fake-reports.js';
import { FakeTarget } from '../fakes/fake-target.js';
import { VirtualClock } from '../fakes/virtual-clock.js';
import { computeFigures, type CallRecord, type Figures } from './call-record.js';
import { SimulatedEntry, type ResponseListener } from './simulated-entry.js';
import type { PolicyCombination } from './policy-combinations.js';
import {
  drawCall,
  FLOOD_CUSTOMER,
  prefillMs,
  regionRate,
  Workload,
  type Scenario,
  type User,
} from './workloads.js';

const SUMMARY_INTERVAL_MS = 1000;
const SUMMARY_DELAY_MS = 1000;
const SUMMARY_EXPIRY_MS = 10_000;
/** Bytes on the link per token of a streamed response, and per plain response. */
const RESPONSE_BYTES_PER_TOKEN = 200;
const PLAIN_RESPONSE_BYTES = 500;
const LINK_SHARE_PERCENT = 50;
const KV_BYTES_PER_TOKEN = 131_072;
const CLIENT_ONE_WAY_MS = 3;

type Summary = Pick<DomainOption, 'readyTargets' | 'waitMs' | 'freeSlots'>;

interface Region {
  readonly name: string;
  readonly targets: readonly FakeTarget[];
  readonly reports: FakeReports;
  readonly entries: readonly SimulatedEntry[];
  readonly policies: readonly DomainPolicy[];
  /** Latest summaries received from the other regions. */
  readonly receivedSummaries: Map<string, { readonly summary: Summary; readonly takenAt: number }>;
}

class ScenarioRun {
  private readonly clock = new VirtualClock();

  private readonly records: CallRecord[] = [];

  private readonly regions: readonly Region[];

  /** Keyed by `from>to`. */
  private readonly links = new Map<string, FakeLink>();

  private readonly budgets = new Map<string, LinkBudget>();

  constructor(
    private readonly user: User,
    private readonly scenario: Scenario,
    private readonly system: PolicyCombination,
    private readonly seed: number,
  ) {
    this.regions = user.regions.map((name, index) => this.createRegion(name, index));
    user.regions.forEach((from) =>
      user.regions
        .filter((to) => to !== from)
        .forEach((to) => {
          const id = `${from}>${to}`;
          this.links.set(id, new FakeLink(this.clock, user.oneWayMs, user.mbitPerS));
          this.budgets.set(id, new LinkBudget(user.mbitPerS, LINK_SHARE_PERCENT, 0));
        }),
    );
  }

  run(): Figures {
    this.regions.forEach((region, index) => {
      const random = seededRandom(this.seed * 1000 + index);
      this.scheduleArrival(region, random, (now) => regionRate(this.scenario, index, now));
      this.clock.every(SUMMARY_INTERVAL_MS, 300 * index, () => this.publishSummary(region));
    });
    this.scheduleFault();
    this.clock.runUntil(Workload.DayMs + Workload.DrainMs);
    const targets = this.regions.flatMap((region) => region.targets);
    const sum = (value: (target: FakeTarget) => number): number =>
      targets.reduce((total, target) => total + value(target), 0);
    const totals = {
      acceleratorMs: sum(({ acceleratorMs }) => acceleratorMs),
      prefixHits: sum(({ prefixHits }) => prefixHits),
      prefixLookups: sum(({ prefixLookups }) => prefixLookups),
      linkBytes: [...this.links.values()].reduce((total, { bytes }) => total + bytes, 0),
    };
    const [faultRegion = ''] = this.user.regions;
    const measuredMs = Workload.DayMs - Workload.WarmUpMs;
    return computeFigures(this.records, totals, measuredMs, faultRegion);
  }

  private createRegion(name: string, index: number): Region {
    const count = Workload.EnginesPerRegion + Workload.PlainTargetsPerRegion;
    const targets = Array.from(
      { length: count },
      (_, target) =>
        new FakeTarget(`${name}-${target}`, target >= Workload.EnginesPerRegion, this.clock),
    );
    const entries: SimulatedEntry[] = [];
    const reports = new FakeReports(
      this.clock,
      targets,
      this.scenario,
      seededRandom(this.seed * 1000 + 100 + index),
      (vm) => entries.forEach((entry) => entry.onReport(vm)),
    );
    Array.from({ length: Workload.EntriesPerRegion }, (_, entry) =>
      entries.push(
        new SimulatedEntry(
          this.clock,
          targets,
          reports,
          seededRandom(this.seed * 1000 + 200 + 10 * index + entry),
          this.system,
          this.user.weights,
        ),
      ),
    );
    const policies = entries.map(() => this.system.domain());
    return { name, targets, reports, entries, policies, receivedSummaries: new Map() };
  }

  private scheduleArrival(
    region: Region,
    random: RandomSource,
    rateOf: (now: number) => number,
    customer?: string,
  ): void {
    const gapMs = (-1000 * Math.log(1 - random.next())) / rateOf(this.clock.now);
    this.clock.after(gapMs, () => {
      if (this.clock.now >= Workload.DayMs) return;
      const id = `${region.name}-${this.records.length}`;
      this.handleArrival(
        region,
        drawCall(id, region.name, this.clock.now, random, customer),
        random,
      );
      this.scheduleArrival(region, random, rateOf, customer);
    });
  }

  private scheduleFault(): void {
    const [first, second] = this.regions;
    if (!first || !second) return;
    const linkBetween = [`${first.name}>${second.name}`, `${second.name}>${first.name}`];
    const setLink = (up: boolean): void =>
      linkBetween.forEach((id) => Object.assign(this.links.get(id) ?? {}, { up }));
    this.clock.after(Workload.FaultAtMs, () => {
      if (this.scenario.fault === 'half-lost') {
        first.targets.filter((_, index) => index % 2 === 0).forEach((target) => target.kill());
      }
      if (this.scenario.fault === 'cut') {
        setLink(false);
        this.clock.after(Workload.LinkCutMs, () => setLink(true));
      }
      if (this.scenario.fault === 'flood') {
        const capacity = Workload.EnginesPerRegion * Workload.EngineCapacityPerS;
        const random = seededRandom(this.seed * 1000 + 300);
        this.scheduleArrival(first, random, () => Workload.FloodShare * capacity, FLOOD_CUSTOMER);
      }
    });
  }

  private handleArrival(region: Region, call: CallRecord['call'], random: RandomSource): void {
    const record: CallRecord = { call, attempts: 0, forwarded: false, stepSumMs: 0, steps: 0 };
    this.records.push(record);
    const index = Math.floor(random.next() * region.entries.length);
    const local: ResponseListener = {
      onFirstToken: () => {
        record.firstTokenMs = this.clock.now - call.at + 2 * CLIENT_ONE_WAY_MS;
      },
      onTokens: (count, stepMs) => {
        record.stepSumMs += count * stepMs;
        record.steps += count;
      },
      onEnd: (end) => {
        record.end = end;
      },
      onRefused: () => {
        record.end = 'refused';
      },
    };
    const decision =
      call.isRegionBound || call.plain ? undefined : this.chooseRegion(region, call, index);
    const other = this.regions.find(({ name }) => name === decision?.failureDomain);
    if (!other || other === region) region.entries[index]?.offer(record, local);
    else this.forward(region, other, index, record, local);
  }

  private chooseRegion(
    region: Region,
    call: CallRecord['call'],
    index: number,
  ): DomainDecision | undefined {
    const { now } = this.clock;
    const cached = call.prefix !== undefined && region.reports.isCached(call.prefix);
    const localOption: DomainOption = {
      ...this.summaryOf(region, (entry) => entry === region.entries[index], call.customer),
      failureDomain: region.name,
      region: region.name,
      ageMs: 0,
      oneWayMs: 0,
      prefillMs: prefillMs(call.promptTokens, cached),
    };
    const kvExport = {
      bytes: Workload.PrefixTokens * KV_BYTES_PER_TOKEN,
      prefillMs: prefillMs(call.promptTokens, true),
    };
    const others = [...region.receivedSummaries]
      .filter(([, { takenAt }]) => now - takenAt <= SUMMARY_EXPIRY_MS)
      .map(([name, { summary, takenAt }]) => ({
        ...summary,
        failureDomain: name,
        region: name,
        ageMs: now - takenAt,
        oneWayMs: this.user.oneWayMs,
        linkMbitPerS: this.user.mbitPerS,
        linkBudgetBytes: this.budgets.get(`${region.name}>${name}`)?.available(now),
        prefillMs: prefillMs(call.promptTokens, false),
        ...(cached ? { kvExport } : {}),
      }));
    const routed = {
      service: 'model',
      prefix: call.prefix,
      promptTokens: call.promptTokens,
      maxTokens: Workload.MinOutputTokens + Workload.MeanExtraOutputTokens,
      bodyBytes: call.bodyBytes,
      latencyTargetMs: Workload.FirstTokenTargetMs,
    };
    return region.policies[index]?.choose(routed, localOption, others, this.user.weights);
  }

  private forward(
    from: Region,
    to: Region,
    index: number,
    record: CallRecord,
    local: ResponseListener,
  ): void {
    const { call } = record;
    const outbound = this.links.get(`${from.name}>${to.name}`);
    const inbound = this.links.get(`${to.name}>${from.name}`);
    const budget = this.budgets.get(`${from.name}>${to.name}`);
    const handleLocally = (): void => {
      Object.assign(record, { away: false });
      from.entries[index]?.offer(record, local);
    };
    const onLinkFailure = (): void => {
      Object.assign(record, { attempts: record.attempts + 1 });
      if (record.firstTokenMs === undefined && call.repeatable) handleLocally();
      else local.onEnd('failed');
    };
    // A broken link is detected when the response does not arrive; the remote attempt may still run.
    let isBroken = false;
    const sendBack = (bytes: number, deliver: () => void): void => {
      if (isBroken) return;
      budget?.spend(bytes, this.clock.now);
      inbound?.send(
        bytes,
        () => isBroken || deliver(),
        () => {
          if (isBroken) return;
          isBroken = true;
          onLinkFailure();
        },
      );
    };
    Object.assign(record, { away: true });
    budget?.spend(call.bodyBytes, this.clock.now);
    const remote: ResponseListener = {
      onFirstToken: () =>
        sendBack(call.plain ? PLAIN_RESPONSE_BYTES : RESPONSE_BYTES_PER_TOKEN, local.onFirstToken),
      onTokens: (count, stepMs) =>
        sendBack(count * RESPONSE_BYTES_PER_TOKEN, () => local.onTokens(count, stepMs)),
      onEnd: (end) => sendBack(100, () => local.onEnd(end)),
      onRefused: () => sendBack(100, handleLocally),
    };
    outbound?.send(call.bodyBytes, () => to.entries[index]?.offer(record, remote), onLinkFailure);
  }

  private summaryOf(
    region: Region,
    isIncluded: (entry: SimulatedEntry) => boolean,
    customer: string,
  ): Summary {
    const { readyTargets, meanWaitMs, freeSlots } = region.reports.modelTargets();
    const queueWaits = region.entries
      .filter(isIncluded)
      .map((entry) => entry.expectedWaitMs(customer));
    return {
      readyTargets,
      waitMs: meanWaitMs + meanOf(queueWaits),
      freeSlots,
    };
  }

  private publishSummary(region: Region): void {
    const summary = this.summaryOf(region, () => true, '');
    const takenAt = this.clock.now;
    this.regions
      .filter((other) => other !== region)
      .forEach((other) =>
        this.clock.after(SUMMARY_DELAY_MS + this.user.oneWayMs, () => {
          if (!this.links.get(`${region.name}>${other.name}`)?.up) return;
          other.receivedSummaries.set(region.name, { summary, takenAt });
        }),
      );
  }
}

/**
 * Runs a simulation; the same arguments always give the same figures.
 *
 * @example runScenario(users[0], scenarios[0], systems[0], 1).firstP99
 */
export function runScenario(
  user: User,
  scenario: Scenario,
  system: PolicyCombination,
  seed: number,
): Figures {
  return new ScenarioRun(user, scenario, system, seed).run();
}
