/** Interface to the source of the configuration and of the list of targets. */
import type { EarlierTargets, FleetConfig, FleetState } from '@marjoramcart/core';

/** Receives what a source read, and whether the source responds. */
export interface FleetListener {
  /** The state was read; it is newer than the previous one, or the same. */
  onState(state: FleetState): void;
  /** The configuration was read without the rest of the state. */
  onConfig(config: FleetConfig): void;
  /** The source responded, possibly without changes. */
  onContact(): void;
  /** The source did not respond, or refused the read. */
  onFailure(reason: string): void;
}

export interface FleetSource {
  /** Reads the state and watches its changes. */
  start(listener: FleetListener): void;
  /** Starts or stops watching changes; a source that does not watch reads only on `refreshConfig`. */
  setWatching(watching: boolean): void;
  /** Reads the configuration once. */
  refreshConfig(): void;
  /**
   * Reads what the source still tells about entries before a revision.
   *
   * @returns undefined if it tells nothing
   */
  readEarlier(revision: number): Promise<EarlierTargets | undefined>;
  stop(): void;
}
