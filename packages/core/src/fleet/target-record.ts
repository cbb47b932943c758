/** Targets and configuration as the platform lists them. */
import type { FleetConfig } from './fleet-config.js';

/** A target as the platform lists it. */
export interface TargetRecord {
  /** Names one start of the target. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests that the target runs at once. */
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer the target stayed cold when the entry was written, ms. */
  readonly coldForMs: number;
  /** Start of the target, Unix ms; 0 when it is not told. */
  readonly bornAt: number;
}

/** What the platform says at one revision. */
export interface FleetState {
  readonly revision: number;
  readonly config: FleetConfig;
  readonly targets: readonly TargetRecord[];
  /** Failure domains whose targets get no requests. */
  readonly evacuated: ReadonlySet<string>;
}
