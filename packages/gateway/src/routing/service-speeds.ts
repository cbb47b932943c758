/** Measured speed of services, from which expected times are computed. */
import {
  updateBaseline,
  USUAL_BASELINE,
  type ServiceSpeed,
  type SpeedBaseline,
  type TargetSpeed,
} from '@marjoramcart/core';
import type { GatewayTuning } from '../tuning.js';

/** Weights of a new sample in the moving averages. */
const TIME_WEIGHT = 0.03;
const FAILURE_WEIGHT = 0.01;
/** The usual gap follows slowly, so that targets that become slow together are still noticed. */
const GAP_WEIGHT = 0.002;
/** The first gaps count more, until there are as many as the weight above stands for. */
const MIN_GAPS = 20;
/** Gaps longer than this multiple of the usual one are pauses, and count as this. */
const MAX_GAP_RATIO = 8;

export class ServiceSpeeds {
  private readonly plainMs = new Map<string, number>();

  private readonly streamMs = new Map<string, number>();

  private readonly promptMs = new Map<string, number>();

  private readonly failureRates = new Map<string, number>();

  /** Services with targets that tell how long work takes there. */
  private readonly telling = new Set<string>();

  private readonly baselines = new Map<string, SpeedBaseline>();

  private readonly gaps = new Map<string, { readonly usualMs: number; readonly count: number }>();

  constructor(private readonly tuning: GatewayTuning) {}

  /** Speed of prefill and streams of a service with engines, or time per request of a plain one. */
  of(service: string, isEngine: boolean): ServiceSpeed {
    const { engine, plain } = this.tuning;
    const plainMs = this.plainMs.get(service) ?? plain.request_ms;
    return {
      prefillTokensPerMs: engine.prefill_tokens_per_ms,
      attentionMsPerMillionPairs: engine.attention_ms_per_million,
      baseMs: isEngine ? engine.first_token_ms : plainMs,
      slotMs: isEngine ? (this.streamMs.get(service) ?? engine.stream_ms) : plainMs,
      ...(isEngine ? { promptMs: this.promptMs.get(service) ?? 0 } : {}),
      baselineFailureRate: this.failureRates.get(service) ?? 0,
      learnsSpeeds: this.learnsSpeeds(service),
      baseline: this.baselineOf(service),
      ...this.eventGapOf(service),
    };
  }

  /** Records the expected prefill time of a prompt that is sent to an engine. */
  onPrompt(service: string, prefillMs: number): void {
    const before = this.promptMs.get(service) ?? prefillMs;
    this.promptMs.set(service, before + (prefillMs - before) * TIME_WEIGHT);
  }

  private eventGapOf(service: string): Pick<ServiceSpeed, 'eventGapMs'> {
    const gap = this.gaps.get(service);
    return gap && gap.count >= MIN_GAPS ? { eventGapMs: gap.usualMs } : {};
  }

  /** Whether targets of a service are told apart by learned speeds. */
  learnsSpeeds(service: string): boolean {
    return this.telling.has(service);
  }

  /** Notes that a target of a service has told how long work takes there. */
  onSpeedTold(service: string): void {
    this.telling.add(service);
  }

  /** Median speed of the targets of a service as this gateway sees them. */
  baselineOf(service: string): SpeedBaseline {
    return this.baselines.get(service) ?? USUAL_BASELINE;
  }

  /** Computes the median anew from the speeds of the targets that may be used. */
  updateBaseline(service: string, targets: readonly TargetSpeed[], now: number): void {
    if (targets.length === 0) return;
    this.baselines.set(service, updateBaseline(targets, this.baselineOf(service), now));
  }

  /**
   * Records a gap between two parts of a stream.
   *
   * @returns its ratio to the usual gap of the service; undefined while that is not known
   */
  onGap(service: string, ms: number): number | undefined {
    const { usualMs, count } = this.gaps.get(service) ?? { usualMs: ms, count: 0 };
    const weight = Math.max(GAP_WEIGHT, 1 / (count + 1));
    const bounded = Math.min(ms, Math.max(1, usualMs) * MAX_GAP_RATIO);
    this.gaps.set(service, { usualMs: usualMs + (bounded - usualMs) * weight, count: count + 1 });
    return count < MIN_GAPS ? undefined : ms / Math.max(1, usualMs);
  }

  /** Records the time from the start of an attempt at a plain service to its response. */
  onPlainDuration(service: string, ms: number): void {
    const before = this.plainMs.get(service) ?? this.tuning.plain.request_ms;
    this.plainMs.set(service, before + (ms - before) * TIME_WEIGHT);
  }

  /** Records the time from the first byte of a stream to its end. */
  onStreamDuration(service: string, ms: number): void {
    const before = this.streamMs.get(service) ?? this.tuning.engine.stream_ms;
    this.streamMs.set(service, before + (ms - before) * TIME_WEIGHT);
  }

  onOutcome(service: string, failed: boolean): void {
    const before = this.failureRates.get(service) ?? 0;
    this.failureRates.set(service, before + ((failed ? 1 : 0) - before) * FAILURE_WEIGHT);
  }
}
