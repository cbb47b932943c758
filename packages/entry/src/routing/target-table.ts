/**
 * Targets of the local failure domain: the control daemon's view, corrected by the results of this
 * process's connections and by the requests that it has sent since each report.
 */
import {
  MembershipTiming,
  type TargetCandidate,
  type TargetObservation,
  type TargetState,
} from '@marjoramcart/core';
import type { EntryState } from '../state/entry-state.js';

const FAILURES_TO_EXCLUDE = 3;
const MIN_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 16_000;

/** Corrections to an older report are dropped; the number of requests in flight still applies. */
const MAX_CORRECTION_MS = 10_000;

interface TargetRecord {
  inFlight: number;
  /** Times at which requests were sent and ended since the report; monotonic ms, ascending. */
  sentTimes: number[];
  endedTimes: number[];
  consecutiveFailures: number;
  excludedUntil: number;
  failures: number;
  successes: number;
}

export class TargetTable {
  private readonly records = new Map<string, TargetRecord>();

  private readonly reservedVms = new Set<string>();

  constructor(
    private readonly state: EntryState,
    private readonly now: () => number,
  ) {}

  /** Targets that may take a request of the service now. */
  candidates(service: string, excluded: ReadonlySet<string>): TargetCandidate[] {
    const now = this.now();
    const usable = this.state.view.targets.filter(
      (target) => !excluded.has(target.vm) && isReady(target, service),
    );
    const connected = usable.filter(({ vm }) => !this.isBackedOff(vm, now));
    // When most targets fail at once and there is no recent summary of another failure domain, the
    // failure is probably local, so no target is excluded.
    const mostFail = connected.length * 2 < usable.length;
    const isolated = this.state.view.isolated || (mostFail && !this.hasRecentSummary());
    const available = isolated ? usable : connected;
    const unreserved = available.filter(({ vm }) => !this.reservedVms.has(vm));
    return (unreserved.length > 0 ? unreserved : available).map((state) =>
      this.candidate(state, now),
    );
  }

  /** Whether any target may be a candidate; cheaper than listing the candidates. */
  hasCandidate(service: string, excluded: ReadonlySet<string>): boolean {
    return this.state.view.targets.some(
      (target) => !excluded.has(target.vm) && isReady(target, service),
    );
  }

  /** Whether the target may still take the request; checked immediately before the write. */
  isReady(vm: string, service: string): boolean {
    const target = this.find(vm);
    return target !== undefined && isReady(target, service);
  }

  find(vm: string): TargetState | undefined {
    return this.state.view.targets.find((target) => target.vm === vm);
  }

  inFlight(vm: string): number {
    return this.records.get(vm)?.inFlight ?? 0;
  }

  begin(vm: string): void {
    const record = this.record(vm);
    record.inFlight += 1;
    record.sentTimes.push(this.now());
  }

  /** Ends a request; `failed` is undefined when the result says nothing about the target. */
  end(vm: string, failed: boolean | undefined): void {
    const record = this.record(vm);
    record.inFlight -= 1;
    record.endedTimes.push(this.now());
    if (failed === undefined) return;
    if (!failed) {
      record.consecutiveFailures = 0;
      record.successes += 1;
      return;
    }
    record.failures += 1;
    record.consecutiveFailures += 1;
    const excess = record.consecutiveFailures - FAILURES_TO_EXCLUDE;
    if (excess < 0) return;
    record.excludedUntil = this.now() + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** excess);
  }

  /** Excludes the target for other requests while a suspect runs there. */
  reserve(vm: string): boolean {
    if (this.reservedVms.has(vm)) return false;
    this.reservedVms.add(vm);
    return true;
  }

  isReserved(vm: string): boolean {
    return this.reservedVms.has(vm);
  }

  unreserve(vm: string): void {
    this.reservedVms.delete(vm);
  }

  /** Returns the results since the last call, for the control daemon; drops removed targets. */
  takeObservations(): TargetObservation[] {
    const known = new Set(this.state.view.targets.map(({ vm }) => vm));
    const seen = [...this.records].filter(([, r]) => r.failures + r.successes > 0);
    const result = seen.map(([vm, { failures, successes }]) => ({ vm, failures, successes }));
    seen.forEach(([, record]) => Object.assign(record, { failures: 0, successes: 0 }));
    [...this.records]
      .filter(([vm, { inFlight }]) => inFlight === 0 && !known.has(vm))
      .forEach(([vm]) => this.records.delete(vm));
    return result;
  }

  private candidate(state: TargetState, now: number): TargetCandidate {
    const record = this.records.get(state.vm);
    if (!record) return { state, inFlight: 0, sentSinceReport: 0 };
    this.dropReportedCorrections(record, state, now);
    return {
      state,
      inFlight: record.inFlight,
      sentSinceReport: record.sentTimes.length,
      endedSinceReport: record.endedTimes.length,
    };
  }

  /** Drops the corrections that the report already includes. */
  private dropReportedCorrections(
    record: TargetRecord,
    { reportAgeMs }: TargetState,
    now: number,
  ): void {
    const takenAt = now - Math.min(MAX_CORRECTION_MS, this.state.viewAgeMs + reportAgeMs);
    const corrected = record;
    corrected.sentTimes = laterThan(corrected.sentTimes, takenAt);
    corrected.endedTimes = laterThan(corrected.endedTimes, takenAt);
  }

  /** Whether the view has a summary of another failure domain that has not expired. */
  private hasRecentSummary(): boolean {
    const { view, viewAgeMs } = this.state;
    return view.summaries.some(
      ({ ageMs }) => ageMs + viewAgeMs <= MembershipTiming.SummaryExpiryMs,
    );
  }

  private isBackedOff(vm: string, now: number): boolean {
    return (this.records.get(vm)?.excludedUntil ?? 0) > now;
  }

  private record(vm: string): TargetRecord {
    const found = this.records.get(vm);
    if (found) return found;
    const created: TargetRecord = {
      inFlight: 0,
      sentTimes: [],
      endedTimes: [],
      consecutiveFailures: 0,
      excludedUntil: 0,
      failures: 0,
      successes: 0,
    };
    this.records.set(vm, created);
    return created;
  }
}

function isReady(target: TargetState, service: string): boolean {
  return target.healthy && !target.leaving && target.services.includes(service);
}

/** Times after the given one; returns the same array when all of them are later. */
function laterThan(times: number[], at: number): number[] {
  const [first] = times;
  return first === undefined || first > at ? times : times.filter((time) => time > at);
}
