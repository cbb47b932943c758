/**
 * Timer service that components subscribe to. One tick source drives all timers, so that a pause
 * of the process is seen before any timer that came due during the pause runs.
 */

/** Ends a subscription; calling it twice is harmless. */
export type Unsubscribe = () => void;

/** A pause of the process, as seen between two ticks. */
export interface Pause {
  /** How long the process was paused, in ms. */
  readonly durationMs: number;
}

export interface TimerService {
  /** Monotonic time in ms. */
  now(): number;
  /** Wall time in ms since the Unix epoch, anchored at start; it never steps back. */
  wall(): number;
  /** Calls `fn` every `intervalMs`; a pause does not cause a burst of calls. */
  every(intervalMs: number, fn: () => void): Unsubscribe;
  /** Calls `fn` once after `delayMs`. */
  after(delayMs: number, fn: () => void): Unsubscribe;
  /** Calls `fn` when a pause of the process ends, before timers that came due. */
  onPause(fn: (pause: Pause) => void): Unsubscribe;
}
