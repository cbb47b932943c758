/** Port: where the configuration and the list of targets come from. */
import type { FleetConfig, FleetState } from '@marjoramcart/core';

/** Contact with the source changed or was confirmed. */
export interface FleetListener {
  /** A state that is newer than the one before, or the same one read again. */
  onState(state: FleetState): void;
  /** The configuration was read alone. */
  onConfig(config: FleetConfig): void;
  /** The source answered; nothing may have changed. */
  onContact(): void;
  /** The source did not answer, or turned the read away. */
  onFailure(reason: string): void;
}

export interface FleetSource {
  /** Reads the state and follows its changes. */
  start(listener: FleetListener): void;
  /** Whether changes are followed; a source that does not reads only when it is asked to. */
  setWatching(following: boolean): void;
  /** Reads the configuration once. */
  refreshConfig(): void;
  stop(): void;
}
