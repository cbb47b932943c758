/** Targets and configuration as listed by the platform. */
import type { FleetConfig } from './fleet-config.js';
import type { StateRevision } from './state-revision.js';

/** A target as listed by the platform. */
export interface TargetRecord {
  /** Unique for each start of the target. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Maximum number of requests that the target runs concurrently. */
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer the target stays cold, ms, from the time the record was written. */
  readonly coldForMs: number;
  /** Start time of the target, Unix ms; 0 if unknown. */
  readonly bornAt: number;
  /** Version of its software; undefined if it is not known. */
  readonly softwareVersion?: string | undefined;
  /** Revision of the latest change of the entry, within its era; gateways of the previous release don't tell it. */
  readonly revision?: number;
}

/** State of the fleet at one revision of the platform. */
export interface FleetState extends StateRevision {
  readonly config: FleetConfig;
  readonly targets: readonly TargetRecord[];
  /** Evacuated failure domains, whose targets receive no requests. */
  readonly evacuated: ReadonlySet<string>;
}
