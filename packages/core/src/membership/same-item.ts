/** Which changes of entries and targets are worth gossip. */
import type { ProcessEntry, TargetItem } from '../messages/messages.js';
import { near } from './quantise.js';

/** A target that restarts soon after its start must have a lower sequence than the one published. */
const MAX_SEQUENCE_GROWTH = 2;

/** Whether an entry's record changed too little to be gossiped. */
export function sameEntry(a: ProcessEntry, b: ProcessEntry): boolean {
  return (
    a.revision === b.revision &&
    a.load?.draining === b.load?.draining &&
    near(a.load?.openRequests ?? 0, b.load?.openRequests ?? 0) &&
    near(a.load?.queued ?? 0, b.load?.queued ?? 0)
  );
}

/** Whether what a prober saw of a target changed too little to be gossiped. */
export function sameTarget(a: TargetItem, b: TargetItem): boolean {
  const facts = ({ services, leaving, failures, concurrency, models }: TargetItem): string =>
    JSON.stringify([services, leaving, failures, concurrency, models]);
  return (
    facts(a) === facts(b) &&
    // Entries take a lower sequence than the one published for a restart of the target.
    b.sequence >= a.sequence &&
    b.sequence <= MAX_SEQUENCE_GROWTH * a.sequence &&
    near(a.running, b.running) &&
    near(a.queued, b.queued) &&
    near(a.waitMs, b.waitMs)
  );
}

/** Whether the rounded load figures are equal too; a small difference is not left for long. */
export function equalLoad(a: TargetItem, b: TargetItem): boolean {
  return a.running === b.running && a.queued === b.queued && a.waitMs === b.waitMs;
}
