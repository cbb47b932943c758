/** Port: where the configuration and the list of targets come from. */
import type { FleetState } from '@marjoramcart/core';

/** Contact with the source changed or was confirmed. */
export interface FleetListener {
  /** A state that is newer than the one before, or the same one read again. */
  onState(state: FleetState): void;
  /** The source answered; nothing may have changed. */
  onContact(): void;
  /** The source did not answer, or turned the read away. */
  onFailure(reason: string): void;
}

export interface FleetSource {
  start(listener: FleetListener): void;
  stop(): void;
}
