/**
 * Decides whether an answer comes from the start of a target that this gateway knows. A target may have
 * started again since, with another version, and this gateway may hear of it late or never.
 */
import type { TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';

/** The entry of a new start has been written and read within this time. */
const ENTRY_DELAY_MS = 10_000;

export interface StartWitnessDeps {
  readonly state: Pick<GatewayState, 'target' | 'tellsStart' | 'sourceSteadyMs' | 'onStart'>;
  readonly timers: Pick<TimerService, 'now'>;
}

export class StartWitness {
  constructor(private readonly deps: StartWitnessDeps) {}

  /** Whether the starts of a target can be told apart; others are known by their entries only. */
  canProve({ record }: TargetEntry): boolean {
    return record.bornAt !== 0 && this.deps.state.tellsStart(record);
  }

  /**
   * Handles a report in which a target told the known start time.
   *
   * @param askedAt when it was asked, monotonic ms
   */
  onTold({ evidence }: TargetEntry, askedAt: number): void {
    evidence.onRan(askedAt);
  }

  /**
   * Handles any other answer of a target, which tells of the process that answers on its connection.
   *
   * @param openedAt when the connection was established, monotonic ms
   * @param askedAt when the request was sent, monotonic ms
   */
  onAnswer(entry: TargetEntry, openedAt: number, askedAt: number): void {
    if (!this.canProve(entry) || !this.proves(entry, openedAt)) return;
    const { state, timers } = this.deps;
    entry.evidence.onRan(askedAt);
    if (entry.isDoubted(timers.now())) state.onStart(entry.record, askedAt);
  }

  /**
   * Whether the known start answers on a connection.
   *
   * @example if (witness.proves(entry, openedAt)) pass(events)
   */
  proves(entry: TargetEntry, openedAt: number): boolean {
    const { evidence } = entry;
    if (evidence.proves(openedAt)) return true;
    if (!this.isSettled(entry, openedAt)) return false;
    evidence.onRan(openedAt);
    return true;
  }

  /** Whether a later start that accepted the connection would have been listed by now. */
  private isSettled(entry: TargetEntry, openedAt: number): boolean {
    const { state, timers } = this.deps;
    const now = timers.now();
    return (
      state.target(entry.id) === entry &&
      !entry.awaitsRecord &&
      Math.min(now - openedAt, entry.knownForMs(now), state.sourceSteadyMs) >= ENTRY_DELAY_MS
    );
  }
}
