/**
 * Learns how much longer work takes at a target than the estimate of its service says. Own times to
 * the first byte, gaps between events, a figure that the target tells about itself and the estimates
 * of other gateways are combined, each weighted by how much it was confirmed lately. Factors are
 * compared with the median of the service's targets, so that a service or a gateway that is slow as a
 * whole has no slow targets. Without news an estimate returns to the median, and the target is tried again.
 */

import { clamp, LogEstimate } from './log-estimate.js';

/** Limits on all factors. */
export const MIN_SPEED_FACTOR = 0.25;
export const MAX_SPEED_FACTOR = 8;

const MIN_LOG = Math.log(MIN_SPEED_FACTOR);
const MAX_LOG = Math.log(MAX_SPEED_FACTOR);
/** Evidence is worth half after this time. */
const TIME_HALF_LIFE_MS = 2000;
const GAP_HALF_LIFE_MS = 400;
const PEER_HALF_LIFE_MS = 700;
/** The most evidence that is kept, in samples; it sets the smallest weight of a new sample. */
const MAX_TIME_EVIDENCE = 9;
const MAX_GAP_EVIDENCE = 20;
/** A single gap says less than a time to the first byte, and is mostly noise. */
const GAP_EVIDENCE_WEIGHT = 0.2;
const PEER_EVIDENCE = 5;
const TOLD_HALF_LIFE_MS = 1000;
/** Evidence for the median of the service, which noise has to outweigh. */
const PRIOR_EVIDENCE = 2;
/** Smaller deviations from the median are noise, by which equal targets must not be told apart. */
const NOISE_LOG = Math.log(1.15);
/** All gateways of a region together try a target that looks slow about this often. */
const TRIAL_INTERVAL_MS = 400;
const MIN_TRIAL_SHARE = 0.1;
const TRIAL_SPREAD = 1.8;
/** An own estimate that deviates less from the median is not told to others. */
const TOLD_LOG = Math.log(1.3);
const MIN_TOLD_SAMPLES = 0.5;
/** A factor that no longer deviates is told for this long, in case a message is lost. */
const RETRACTION_MS = 1500;
/** A target without a sample for this long counts as not measured since the last median. */
const STALE_MS = 150;
/** Relative error of the expected wait for other work. */
const WAIT_ERROR = 0.5;
/** The figure of a target is ignored outside these limits, in percent of the usual time. */
const MIN_FIGURE = 10;
const MAX_FIGURE = 1600;
const USUAL_FIGURE = 100;
/** The figure is worth half after this time, since it changes many times a second. */
const FIGURE_HALF_LIFE_MS = 200;
/** The most that a figure changes a factor before own times confirm or contradict it. */
const MAX_FIGURE_LOG = Math.log(4);
const INITIAL_TRUST = 0.5;
/** Change of the trust in the figure by one own time. */
const TRUST_STEP = 0.15;
/** Avoids that noise changes the trust while the figure is as usual. */
const TRUST_NOISE = 0.3;

/** A measured time to the first byte, or a duration of a plain request. */
export interface SpeedSample {
  readonly measuredMs: number;
  /** Time that the work takes at a target of usual speed without other work, ms. */
  readonly serviceMs: number;
  /** Time for which it was expected to wait for other work, ms. */
  readonly waitMs: number;
}

/** Median of the targets of a service, as logarithms of factors. */
export interface SpeedBaseline {
  readonly time: number;
  readonly gap: number;
  readonly figure: number;
}

export const USUAL_BASELINE: SpeedBaseline = { time: 0, gap: 0, figure: 0 };

/** Factors of a target: 2 means that work takes twice as long. */
export interface SpeedFactors {
  /** Compared with the estimate of the service. */
  readonly absolute: number;
  /** Compared with the median of the service's targets. */
  readonly relative: number;
}

/** What a gateway has seen of a target. */
export interface SpeedObservation {
  /** Factor on times relative to the median of the service. */
  readonly factor: number;
  /** Evidence behind it, in samples. */
  readonly samples: number;
}

export class TargetSpeed {
  private readonly times = new LogEstimate({
    halfLifeMs: TIME_HALF_LIFE_MS,
    maxEvidence: MAX_TIME_EVIDENCE,
  });

  private readonly gaps = new LogEstimate({
    halfLifeMs: GAP_HALF_LIFE_MS,
    maxEvidence: MAX_GAP_EVIDENCE,
  });

  private readonly peers = new LogEstimate({
    halfLifeMs: PEER_HALF_LIFE_MS,
    maxEvidence: PEER_EVIDENCE,
  });

  /** What other gateways saw, as far as they told this one. */
  private readonly told = new LogEstimate({
    halfLifeMs: TOLD_HALF_LIFE_MS,
    maxEvidence: MAX_TIME_EVIDENCE,
  });

  /** Evidence of the own samples that were not told yet, and their sum of logarithms. */
  private untold = 0;

  private untoldLog = 0;

  private hasToldDeviation = false;

  private deviatedAt = -Infinity;

  /** Figure at the time of the own times. */
  private readonly figures = new LogEstimate({
    halfLifeMs: TIME_HALF_LIFE_MS,
    maxEvidence: MAX_TIME_EVIDENCE,
  });

  private timesAt = -Infinity;

  private figure = 0;

  private figureAt = -Infinity;

  /** How far the figure agreed with own times, 0 to 1. */
  private trust = INITIAL_TRUST;

  /**
   * Handles a measured time. What may have been spent waiting for other work is not held against the
   * target: the time is only known to be within a range, and an estimate in the range stays.
   *
   * @example speed.onTime({ measuredMs: 130, serviceMs: 60, waitMs: 0 }, now)
   */
  onTime({ measuredMs, serviceMs, waitMs }: SpeedSample, now: number): void {
    const usualMs = Math.max(1, serviceMs);
    const logOf = (wait: number): number =>
      clamp(Math.log(Math.max(1, measuredMs - wait) / usualMs), MIN_LOG, MAX_LOG);
    const expected = this.times.log + this.figureShift(now);
    const sample = clamp(
      expected,
      logOf(waitMs * (1 + WAIT_ERROR)),
      logOf(waitMs * (1 - WAIT_ERROR)),
    );
    const weight = usualMs / (usualMs + waitMs);
    this.checkFigure(sample, now);
    this.times.add(sample, weight, now);
    this.figures.add(this.figure * this.figureFreshness(now), weight, now);
    this.timesAt = now;
    this.untold += weight;
    this.untoldLog += sample * weight;
  }

  /**
   * Handles a request that ended without a first byte: it would have taken at least as long.
   *
   * @param sample with the time until it ended
   */
  onAborted(sample: SpeedSample, now: number): void {
    const { measuredMs, serviceMs, waitMs } = sample;
    const leastMs = measuredMs - waitMs * (1 + WAIT_ERROR);
    const factor = leastMs / Math.max(1, serviceMs);
    if (factor > 0 && Math.log(factor) > this.times.log) this.onTime(sample, now);
  }

  /** Handles a gap between two events of a running stream, relative to the usual gap of the service. */
  onGap(ratio: number, now: number): void {
    const log = Math.log(clamp(ratio, MIN_SPEED_FACTOR, MAX_SPEED_FACTOR));
    this.gaps.add(log, GAP_EVIDENCE_WEIGHT, now);
  }

  /**
   * Handles the figure that the target tells about itself.
   *
   * @param figure time that work takes now in percent of the usual time; ignored if it can't be true
   */
  onFigure(figure: number | undefined, now: number): void {
    if (figure === undefined || !(figure >= MIN_FIGURE && figure <= MAX_FIGURE)) return;
    const log = Math.log(figure / USUAL_FIGURE);
    this.figure = clamp(log, -MAX_FIGURE_LOG, MAX_FIGURE_LOG);
    this.figureAt = now;
  }

  /** Handles the relative factor that another gateway has measured. */
  onPeerFactor(factor: number, now: number): void {
    if (!(factor > 0)) return;
    const log = Math.log(clamp(factor, MIN_SPEED_FACTOR, MAX_SPEED_FACTOR));
    this.peers.set(log, PEER_EVIDENCE, now);
  }

  factors(baseline: SpeedBaseline, now: number): SpeedFactors {
    const log = this.relativeLog(baseline, now);
    const relative = Math.sign(log) * Math.max(0, Math.abs(log) - NOISE_LOG);
    return {
      absolute: factorOf(baseline.time + relative),
      relative: factorOf(relative),
    };
  }

  /** Factor on the gaps between events relative to the median of the service. */
  gapFactor(baseline: SpeedBaseline, now: number): number {
    const evidence = this.gaps.evidenceAt(now);
    return factorOf(((this.gaps.log - baseline.gap) * evidence) / (evidence + PRIOR_EVIDENCE));
  }

  /** Handles what another gateway has seen since it last told. */
  onObservation({ factor, samples }: SpeedObservation, now: number): void {
    if (!(factor > 0) || !(samples > 0)) return;
    const log = Math.log(clamp(factor, MIN_SPEED_FACTOR, MAX_SPEED_FACTOR));
    this.told.add(log, Math.min(samples, MAX_TIME_EVIDENCE), now);
  }

  /**
   * Takes what this gateway has seen itself since it last told the one that collects observations:
   * deviations from the median, and the first time without one after that.
   */
  takeObservation(baseline: SpeedBaseline, now: number): SpeedObservation | undefined {
    const samples = this.untold;
    if (samples < MIN_TOLD_SAMPLES) return undefined;
    // The samples themselves: the own estimate may still be that of a time before.
    const log = this.untoldLog / samples - baseline.time;
    const deviates = Math.abs(log) >= TOLD_LOG || this.peerDeviates(now);
    const isNews = deviates || this.hasToldDeviation;
    this.hasToldDeviation = deviates;
    this.untold = 0;
    this.untoldLog = 0;
    return isNews ? { factor: factorOf(log), samples } : undefined;
  }

  /**
   * Takes the relative factor by what this gateway saw itself and what it was told, for the region;
   * undefined if that is too little, or if it does not deviate and did not lately.
   */
  takeCollected(baseline: SpeedBaseline, now: number): number | undefined {
    const factor = this.collectedFactor(baseline, now);
    if (factor === undefined) return undefined;
    if (Math.abs(Math.log(factor)) >= TOLD_LOG) this.deviatedAt = now;
    return now - this.deviatedAt <= RETRACTION_MS ? factor : undefined;
  }

  private collectedFactor(baseline: SpeedBaseline, now: number): number | undefined {
    const evidence = this.times.evidenceAt(now);
    const gapEvidence = this.gaps.evidenceAt(now);
    const toldEvidence = this.told.evidenceAt(now);
    const total = evidence + gapEvidence + toldEvidence;
    if (total < 1) return undefined;
    const sum =
      (this.times.log + this.figureShift(now) - baseline.time) * evidence +
      (this.gaps.log - baseline.gap) * gapEvidence +
      this.told.log * toldEvidence;
    return factorOf(sum / total);
  }

  /** What this target contributes to the median of its service. */
  baselineShare(previous: SpeedBaseline, now: number): SpeedBaseline {
    const evidence = this.times.evidenceAt(now);
    const gapEvidence = this.gaps.evidenceAt(now);
    const time = this.times.log + this.figureShift(now);
    return {
      time: previous.time + ((time - previous.time) * evidence) / (evidence + PRIOR_EVIDENCE),
      gap: (this.gaps.log * gapEvidence) / (gapEvidence + PRIOR_EVIDENCE),
      figure: this.figureLog(now),
    };
  }

  /** Moves the times along when all targets have become slower or faster since they were measured. */
  onBaselineShift(shift: number, now: number): void {
    if (now - this.timesAt < STALE_MS) return;
    this.times.log = clamp(this.times.log + shift, MIN_LOG, MAX_LOG);
  }

  private peerDeviates(now: number): boolean {
    return this.peers.evidenceAt(now) >= 1 && Math.abs(this.peers.log) >= TOLD_LOG;
  }

  private relativeLog(baseline: SpeedBaseline, now: number): number {
    const peerEvidence = Math.max(this.peers.evidenceAt(now), this.told.evidenceAt(now));
    const peerLog =
      this.peers.evidenceAt(now) >= this.told.evidenceAt(now) ? this.peers.log : this.told.log;
    const evidence = this.times.evidenceAt(now);
    const gapEvidence = this.gaps.evidenceAt(now);
    const sum =
      (this.times.log + this.figureShift(now) - baseline.time) * evidence +
      (this.gaps.log - baseline.gap) * gapEvidence +
      peerLog * peerEvidence +
      (this.figureLog(now) - baseline.figure) * PRIOR_EVIDENCE;
    return clamp(sum / (evidence + gapEvidence + peerEvidence + PRIOR_EVIDENCE), MIN_LOG, MAX_LOG);
  }

  /** What the figure alone says, as far as it is recent and trusted. */
  private figureLog(now: number): number {
    return this.figure * this.trust * this.figureFreshness(now);
  }

  /** Change of the figure since the own times were measured, as far as it is recent and trusted. */
  private figureShift(now: number): number {
    return (this.figure - this.figures.log) * this.trust * this.figureFreshness(now);
  }

  private figureFreshness(now: number): number {
    return 0.5 ** (Math.max(0, now - this.figureAt) / FIGURE_HALF_LIFE_MS);
  }

  /** Compares an own time with what would have been expected with and without the figure. */
  private checkFigure(sample: number, now: number): void {
    const fresh = this.figureFreshness(now);
    const shift = (this.figure - this.figures.log) * fresh;
    const errorWith = Math.abs(sample - this.times.log - shift);
    const errorWithout = Math.abs(sample - this.times.log);
    const agreement = (errorWithout - errorWith) / (errorWithout + errorWith + TRUST_NOISE);
    this.trust = clamp(this.trust + agreement * TRUST_STEP * fresh, 0, 1);
  }
}

/**
 * Computes the median of the targets of a service. Targets without recent samples count as they did
 * before, so that a single target that answers slowly does not become the measure of the others.
 *
 * @example updateBaseline(targets.map(({ work }) => work.speed), before, now)
 */
export function updateBaseline(
  speeds: readonly TargetSpeed[],
  previous: SpeedBaseline,
  now: number,
): SpeedBaseline {
  const shares = speeds.map((speed) => speed.baselineShare(previous, now));
  const time = median(shares.map((share) => share.time));
  speeds.forEach((speed) => speed.onBaselineShift(time - previous.time, now));
  return {
    time,
    gap: median(shares.map(({ gap }) => gap)),
    figure: median(shares.map(({ figure }) => figure)),
  };
}

/**
 * Whether a slow target should get a request to find out whether it has recovered. The gateways of a
 * region share the trials, so that they are a bounded number in regions of any size.
 *
 * @param share number of gateways, and a fixed number of this gateway for this target, 0 to 1, by which
 *   the trials of different gateways are spread over time
 * @param idleMs time since this gateway last sent to the target
 * @example isTrialDue(factors, 9000, { gateways: 20, phase: 0.3 }) // true for a slow target
 */
export function isTrialDue(
  { relative }: SpeedFactors,
  idleMs: number,
  { gateways, phase }: { readonly gateways: number; readonly phase: number },
): boolean {
  const intervalMs = TRIAL_INTERVAL_MS * gateways * (MIN_TRIAL_SHARE + TRIAL_SPREAD * phase);
  return relative > 1 && idleMs >= intervalMs;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length / 2;
  const upper = sorted[Math.floor(middle)] ?? 0;
  return Number.isInteger(middle) ? (upper + (sorted[middle - 1] ?? upper)) / 2 : upper;
}

function factorOf(log: number): number {
  return Math.exp(clamp(log, MIN_LOG, MAX_LOG));
}
