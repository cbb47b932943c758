/**
 * Timer service of a process. One tick drives all timers, so that a pause of the process is
 * detected before any timer that came due during the pause runs.
 */

/** Cancels a subscription; further calls have no effect. */
export type Unsubscribe = () => void;

/** A pause of the process, detected between two ticks. */
export interface Pause {
  /** Duration of the pause in ms. */
  readonly durationMs: number;
}

export interface TimerService {
  /** Monotonic time in ms. */
  now(): number;
  /** Wall-clock time in ms since the Unix epoch. It is read at start and never steps back. */
  wall(): number;
  /** Calls `fn` every `intervalMs`. Calls missed during a pause are not made up for. */
  every(intervalMs: number, fn: () => void): Unsubscribe;
  /** Calls `fn` once after `delayMs`. */
  after(delayMs: number, fn: () => void): Unsubscribe;
  /** Calls `fn` after a pause of the process, before the timers that came due during it. */
  onPause(fn: (pause: Pause) => void): Unsubscribe;
}
