/** Which changes of entries and targets are worth gossip. */
import type { ProcessRecord, GossipedTarget } from '../messages/messages.js';
import { isMinorChange } from './quantise.js';

/** A target that restarts soon after its start must have a lower sequence than the one published. */
const MAX_SEQUENCE_GROWTH = 2;

/** Whether an entry's record changed too little to be gossiped. */
export function isMinorEntryChange(a: ProcessRecord, b: ProcessRecord): boolean {
  return (
    a.revision === b.revision &&
    a.load?.draining === b.load?.draining &&
    isMinorChange(a.load?.openRequests ?? 0, b.load?.openRequests ?? 0) &&
    isMinorChange(a.load?.queued ?? 0, b.load?.queued ?? 0)
  );
}

/** Whether what a prober saw of a target changed too little to be gossiped. */
export function isMinorTargetChange(a: GossipedTarget, b: GossipedTarget): boolean {
  const facts = ({ services, leaving, failures, concurrency, models }: GossipedTarget): string =>
    JSON.stringify([services, leaving, failures, concurrency, models]);
  return (
    facts(a) === facts(b) &&
    // Entries take a lower sequence than the one published for a restart of the target.
    b.sequence >= a.sequence &&
    b.sequence <= MAX_SEQUENCE_GROWTH * a.sequence &&
    isMinorChange(a.running, b.running) &&
    isMinorChange(a.queued, b.queued) &&
    isMinorChange(a.waitMs, b.waitMs)
  );
}

/** Whether the rounded load figures are equal too; a small difference is not left for long. */
export function equalLoad(a: GossipedTarget, b: GossipedTarget): boolean {
  return a.running === b.running && a.queued === b.queued && a.waitMs === b.waitMs;
}
