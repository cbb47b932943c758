/** Judges what was observed while the configuration changed. */
import type { ControlPlan, EntryPlan } from '@marjoramcart/stand-ins';
import type { Sample } from './observer.js';

/** A published value. */
export interface Change {
  readonly revision: number;
  readonly accepted: boolean;
  /** From when the service shows it, ms; infinite while the service is stale or down. */
  visibleAt: number;
}

/** Time in which daemons of a VM can't learn of changes, ms. */
export interface Outage {
  readonly vm: string;
  /** Absent when all daemons of the VM are meant. */
  readonly daemon?: string;
  readonly from: number;
  to: number;
}

/** Time from when the daemon could learn of a change until it reported it in force. */
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

/** Samples below the highest one before them; a process counts from when it is ready. */
export function findRevisionRegressions(samples: readonly Sample[]): Sample[] {
  const highest = { overall: 0, inProcess: 0, bootId: '' };
  return samples.filter(({ bootId, ready, revision }) => {
    if (bootId !== highest.bootId) Object.assign(highest, { bootId, inProcess: 0 });
    const fell = revision < highest.inProcess || (ready && revision < highest.overall);
    highest.inProcess = Math.max(highest.inProcess, revision);
    highest.overall = Math.max(highest.overall, revision);
    return fell;
  });
}
