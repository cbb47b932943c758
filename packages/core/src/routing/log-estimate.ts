/** Moving averages of the logarithms of factors, which follow changes and ignore single outliers. */

/** A sample changes an estimate as if it deviated by this much at most. */
const MAX_DEVIATION_LOG = Math.log(2.5);
/** A few samples in a row that deviate this much to one side are a change of speed rather than noise. */
const CHANGE_LOG = Math.log(1.6);
const SLOWER_SAMPLES = 3;
/** Waits that are not known of make times longer, never shorter, so that fewer short ones suffice. */
const FASTER_SAMPLES = 2;
const CHANGE_GAIN = 0.6;

interface EstimateOptions {
  readonly halfLifeMs: number;
  readonly maxEvidence: number;
}

/** Moving average of logarithms, with the evidence behind it. */
export class LogEstimate {
  log = 0;

  private evidence = 0;

  private at = 0;

  /** Samples in a row that deviate clearly to one side; the sign is the side. */
  private deviating = 0;

  constructor(private readonly options: EstimateOptions) {}

  evidenceAt(now: number): number {
    return this.evidence * 0.5 ** (Math.max(0, now - this.at) / this.options.halfLifeMs);
  }

  /** @param weight evidence of the sample */
  add(sample: number, weight: number, now: number): void {
    const evidence = this.evidenceAt(now);
    const deviation = sample - this.log;
    const gain = weight / (evidence + weight);
    const maxDeviation = MAX_DEVIATION_LOG * Math.max(1, weight);
    this.countDeviating(deviation);
    const hasChanged = this.deviating >= SLOWER_SAMPLES || this.deviating <= -FASTER_SAMPLES;
    this.log +=
      (hasChanged ? Math.max(gain, CHANGE_GAIN * Math.min(1, weight)) : gain) *
      clamp(deviation, -maxDeviation, maxDeviation);
    this.evidence = Math.min(this.options.maxEvidence, evidence + weight);
    this.at = now;
  }

  set(log: number, evidence: number, now: number): void {
    this.log = log;
    this.evidence = evidence;
    this.at = now;
  }

  private countDeviating(deviation: number): void {
    if (Math.abs(deviation) < CHANGE_LOG) this.deviating = 0;
    else if (Math.sign(deviation) === Math.sign(this.deviating)) {
      this.deviating += Math.sign(deviation);
    } else this.deviating = Math.sign(deviation);
  }
}

/** Limits a number to a range. */
export function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
