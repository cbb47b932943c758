/** Computes how fast configuration changes reached daemons and whether revisions went back. */
import type { ControlPlan, EntryPlan } from '@marjoramcart/stand-ins';
import type { Sample } from './observer.js';

/** A published value. */
export interface Change {
  readonly revision: number;
  /** Whether the value is valid, so that daemons load it. */
  readonly accepted: boolean;
  /** When the configuration service returns it, Unix ms; infinite while it is stale or down. */
  visibleAt: number;
}

/** Period in which daemons of a VM cannot receive changes, Unix ms. */
export interface Outage {
  readonly vm: string;
  /** Absent when it affects all daemons of the VM. */
  readonly daemon?: string;
  readonly from: number;
  to: number;
}

/** Time from when the daemon could receive a change until it reported it in force, ms. */
export function propagationDelay(
  samples: readonly Sample[],
  outages: readonly Outage[],
  { revision, visibleAt }: Change,
  { name, vm }: ControlPlan | EntryPlan,
): { daemon: string; revision: number; waitMs: number } {
  const seen = samples.find((sample) => sample.source === name && sample.revision >= revision);
  const seenAt = seen?.at ?? Infinity;
  const reachableAt = outages
    .filter((outage) => outage.vm === vm && (outage.daemon ?? name) === name)
    .filter(({ from, to }) => from < seenAt && to > visibleAt)
    .reduce((latest, { to }) => Math.max(latest, to), visibleAt);
  return { daemon: name, revision, waitMs: seenAt - Math.min(reachableAt, seenAt) };
}

/**
 * Samples with a lower revision than an earlier one of the same process or, once the process is
 * ready, of any process before it.
 */
export function findRevisionRegressions(samples: readonly Sample[]): Sample[] {
  const highest = { overall: 0, inProcess: 0, bootId: '' };
  return samples.filter(({ bootId, ready, revision }) => {
    if (bootId !== highest.bootId) Object.assign(highest, { bootId, inProcess: 0 });
    const decreased = revision < highest.inProcess || (ready && revision < highest.overall);
    highest.inProcess = Math.max(highest.inProcess, revision);
    highest.overall = Math.max(highest.overall, revision);
    return decreased;
  });
}
