/** Simulates gateways that choose among targets of uneven speed, without network. */
import {
  isTrialDue,
  latenessCostMs,
  rankTargets,
  sampleTargets,
  seededRandom,
  TargetWork,
  updateBaseline,
  USUAL_BASELINE,
  type Candidate,
  type RankedTarget,
  type ServiceSpeed,
  type SpeedBaseline,
  type TargetSpeed,
} from '@marjoramcart/core';

const SERVICE_MS = 60;
const SLOTS = 16;
const DURATION_MS = 20_000;
const TELL_EVERY_MS = 500;
const BASELINE_EVERY_MS = 100;
const STEP_MS = 5;
const LATENCY_TARGET_MS = 400;
/** Factors of the first seconds, in which nothing is known yet, are left out. */
const SETTLED_AFTER_MS = 2000;

/** How gateways choose targets. */
export const Choice = {
  /** At random with equal weights. */
  FixedWeights: 'fixed weights',
  /** By load only. */
  Load: 'load only',
  /** By the release before `TargetSpeed`: a smoothed ratio of measured to expected times. */
  Ratio: 'smoothed ratio',
  Learned: 'learned speeds',
  /** With the actual load and speed of every target at the moment. */
  Perfect: 'perfect choice',
} as const;
export type Choice = (typeof Choice)[keyof typeof Choice];

export interface UnevenLoad {
  readonly targets: number;
  readonly gateways: number;
  /** Requests per second and target. */
  readonly perTargetPerS: number;
  /** Factor on times at a target that runs this many requests. */
  readonly slowness: (target: number, now: number, running: number) => number;
  /** Figure that a target tells; absent if it tells none. */
  readonly figure?: (target: number, now: number) => number;
  /** Time that a gateway adds to each response itself, ms. */
  readonly ownDelayMs?: (gateway: number) => number;
}

interface Gateway {
  readonly works: TargetWork[];
  readonly baseline: SpeedBaseline;
  readonly phase: number;
  /** Smoothed ratios of measured to expected times, by target. */
  readonly ratios: number[];
}

export interface Outcome {
  /** Share of the requests that take longer than the latency target. */
  readonly lateShare: number;
  /** 99th percentile of the response times, ms. */
  readonly p99Ms: number;
  /** Requests by target and second. */
  readonly sent: readonly (readonly number[])[];
  /** Largest and smallest relative factor that any gateway assumed after the first two seconds. */
  readonly factors: { readonly most: number; readonly least: number };
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** The earlier releases' moving average of the ratio of a measured to an expected time. */
function smoothedRatio(before: number, ratio: number): number {
  const sample = Math.min(2.5, Math.max(0.4, ratio));
  return Math.min(8, Math.max(0.3, before * (0.9 + sample * 0.1)));
}

/**
 * Simulates plain requests at targets with a queue each; gateways tell each other what they learned.
 *
 * @example simulateUneven(load, Choice.Learned, 1).lateShare // 0.01
 */
export function simulateUneven(load: UnevenLoad, choice: Choice, seed: number): Outcome {
  const random = seededRandom(seed);
  const { targets, gateways: gatewayCount } = load;
  const learns = choice === Choice.Learned;
  const ids = Array.from({ length: targets }, (_, index) => `t${index}`);
  const gateways = Array.from({ length: gatewayCount }, (): Gateway => ({
    works: ids.map(() => new TargetWork(1)),
    baseline: USUAL_BASELINE,
    phase: random.next(),
    ratios: ids.map(() => 1),
  }));
  const running = ids.map(() => 0);
  const queues: (() => void)[][] = ids.map(() => []);
  const sent = ids.map(() => Array.from({ length: DURATION_MS / 1000 }, () => 0));
  const speed = {
    prefillTokensPerMs: 50,
    attentionMsPerMillionPairs: 0,
    baseMs: SERVICE_MS,
    slotMs: SERVICE_MS,
    baselineFailureRate: 0,
  } satisfies ServiceSpeed;
  let clock = 0;
  const times: number[] = [];
  let count = 0;
  let most = 1;
  let least = 1;
  const events: Event[] = [];
  const schedule = (at: number, run: () => void): void => {
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((events[middle] as Event).at > at) high = middle;
      else low = middle + 1;
    }
    events.splice(low, 0, { at, run });
  };
  const isTrialDueAt = (
    { works, baseline, phase }: Gateway,
    target: number,
    now: number,
  ): boolean => {
    const work = works[target] as TargetWork;
    const factors = work.speedFactors(baseline, now);
    return isTrialDue(factors, work.idleMs(now), { gateways: gatewayCount, phase });
  };
  /** Time to the response if one more request were sent now. */
  const actualMs = (target: number, now: number): number => {
    const active = running[target] ?? 0;
    const factor = load.slowness(target, now, Math.min(SLOTS, active + 1));
    const ahead = active < SLOTS ? 0 : ((queues[target]?.length ?? 0) + 1) / SLOTS;
    return SERVICE_MS * factor * (1 + ahead);
  };
  const rank = (gateway: Gateway, now: number): Candidate | undefined => {
    const { works, baseline, ratios } = gateway;
    const ranked = ids.map((id, target): RankedTarget => ({
      id,
      failureDomain: 'a',
      slots: SLOTS,
      work: works[target] as TargetWork,
      sharedPrefixCached: false,
      // The other choices rank all targets as of usual speed.
      trial: !learns || isTrialDueAt(gateway, target, now),
    }));
    const candidates = rankTargets(
      { priority: 0, latencyTargetMs: LATENCY_TARGET_MS },
      choice === Choice.Perfect || choice === Choice.FixedWeights
        ? ranked
        : sampleTargets(ranked, { gateways: gatewayCount }, random),
      { ...speed, ...(learns ? { baseline } : {}) },
      now,
    );
    const costMs = ({ destination, expectedFirstByteMs }: Candidate): number => {
      const target = destination.kind === 'target' ? ids.indexOf(destination.id) : 0;
      if (choice === Choice.Perfect) return actualMs(target, now);
      const expectedMs = expectedFirstByteMs * (ratios[target] ?? 1);
      return expectedMs + latenessCostMs(expectedMs, { latencyTargetMs: LATENCY_TARGET_MS });
    };
    if (choice === Choice.FixedWeights) return candidates[Math.floor(random.next() * targets)];
    if (choice === Choice.Learned || choice === Choice.Load) return candidates[0];
    return candidates.reduce((best, other) => (costMs(other) < costMs(best) ? other : best));
  };
  const arrive = (now: number): void => {
    const from = Math.floor(random.next() * gatewayCount);
    const gateway = gateways[from] as Gateway;
    const { works, ratios } = gateway;
    const best = rank(gateway, now);
    if (best?.destination.kind !== 'target') return;
    const target = ids.indexOf(best.destination.id);
    const work = works[target] as TargetWork;
    const ratio = ratios[target] ?? 1;
    const id = `r${count}`;
    const second = Math.floor(now / 1000);
    count += 1;
    (sent[target] as number[])[second] = (sent[target]?.[second] ?? 0) + 1;
    work.onSend(
      id,
      {
        prefillMs: 0,
        priority: 0,
        expectedMs: best.expectedFirstByteMs,
        waitMs: best.expectedWaitMs,
        serviceMs: best.serviceMs ?? SERVICE_MS,
      },
      undefined,
      now,
    );
    const end = (at: number): void => {
      running[target] = (running[target] ?? 1) - 1;
      queues[target]?.shift()?.();
      const seenAt = at + (load.ownDelayMs?.(from) ?? 0);
      schedule(seenAt, () => {
        const figure = load.figure?.(target, at);
        const requests = (running[target] ?? 0) + (queues[target]?.length ?? 0);
        work.updateLoadReport(
          { requests: requests + 1, ...(figure === undefined ? {} : { slowness: figure }) },
          seenAt,
        );
        if (learns) work.onFirstByte(id, seenAt);
        else work.onByte(seenAt);
        work.onEnd(id, seenAt);
        if (choice === Choice.Ratio) {
          const expectedMs = best.expectedFirstByteMs * ratio;
          ratios[target] = smoothedRatio(ratios[target] ?? 1, (seenAt - now) / expectedMs);
        }
        times.push(at - now);
      });
    };
    const begin = (at: number): void => {
      running[target] = (running[target] ?? 0) + 1;
      const atStart = running[target] ?? 1;
      // Work goes on at the speed of each moment.
      let workMs = SERVICE_MS * (0.6 + 0.8 * random.next());
      let until = at;
      while (workMs > 0) {
        workMs -= STEP_MS / load.slowness(target, until, atStart);
        until += STEP_MS;
      }
      schedule(until, () => end(until));
    };
    if ((running[target] ?? 0) < SLOTS) begin(now);
    else queues[target]?.push(() => begin(clock));
  };
  const everyMs = 1000 / (load.perTargetPerS * targets);
  for (let at = 0; at < DURATION_MS; at += everyMs) schedule(at, () => arrive(at));
  const updateBaselines = (at: number): void =>
    gateways.forEach((gateway, index) => {
      const speeds = gateway.works.map(({ speed: learned }) => learned);
      const baseline = updateBaseline(speeds, gateway.baseline, at);
      gateways[index] = { ...gateway, baseline };
      if (at < SETTLED_AFTER_MS) return;
      const factors = speeds.map((learned) => learned.factors(baseline, at).relative);
      most = Math.max(most, ...factors);
      least = Math.min(least, ...factors);
    });
  for (let at = 0; at < DURATION_MS; at += BASELINE_EVERY_MS) {
    schedule(at, () => updateBaselines(at));
  }
  for (let at = 0; learns && at < DURATION_MS; at += TELL_EVERY_MS) {
    // One gateway collects what is seen of a target, and tells the others in its reports.
    schedule(at, () =>
      ids.forEach((_, target) => {
        const speedAt = ({ works }: Gateway): TargetSpeed => (works[target] as TargetWork).speed;
        const poller = gateways[target % gatewayCount] as Gateway;
        const others = gateways.filter((gateway) => gateway !== poller);
        others.forEach((gateway) => {
          const observation = speedAt(gateway).takeObservation(gateway.baseline, at);
          if (observation) speedAt(poller).onObservation(observation, at);
        });
        const factor = speedAt(poller).takeCollected(poller.baseline, at);
        if (factor === undefined) return;
        others.forEach((gateway) => speedAt(gateway).onPeerFactor(factor, at));
      }),
    );
  }
  while (events.length > 0) {
    const event = events.shift() as Event;
    clock = event.at;
    event.run();
  }
  times.sort((a, b) => a - b);
  return {
    lateShare: times.filter((ms) => ms > LATENCY_TARGET_MS).length / times.length,
    p99Ms: times[Math.floor(times.length * 0.99)] ?? 0,
    sent,
    factors: { most, least },
  };
}
