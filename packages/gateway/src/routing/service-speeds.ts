/** Measured speed of services, from which expected times are computed. */
import type { ServiceSpeed } from '@marjoramcart/core';
import type { GatewayTuning } from '../tuning.js';

/** Weights of a new sample in the moving averages. */
const TIME_WEIGHT = 0.03;
const FAILURE_WEIGHT = 0.01;

export class ServiceSpeeds {
  private readonly plainMs = new Map<string, number>();

  private readonly streamMs = new Map<string, number>();

  private readonly promptMs = new Map<string, number>();

  private readonly failureRates = new Map<string, number>();

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
    };
  }

  /** Records the expected prefill time of a prompt that is sent to an engine. */
  onPrompt(service: string, prefillMs: number): void {
    const before = this.promptMs.get(service) ?? prefillMs;
    this.promptMs.set(service, before + (prefillMs - before) * TIME_WEIGHT);
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
