/** Detects changes of entries and targets that are too small to be gossiped immediately. */
import type { ProcessRecord, GossipedTarget } from '../messages/messages.js';
import { isMinorChange } from './quantise.js';

/**
 * Growth at which the published sequence is renewed, so that the sequence after a restart is lower
 * than the published one even if the target restarts soon after its start.
 */
const MAX_SEQUENCE_GROWTH_FACTOR = 2;

/** Whether an entry's record changed too little to be gossiped. */
export function isMinorEntryChange(a: ProcessRecord, b: ProcessRecord): boolean {
  return (
    a.revision === b.revision &&
    a.load?.draining === b.load?.draining &&
    isMinorChange(a.load?.openRequests ?? 0, b.load?.openRequests ?? 0) &&
    isMinorChange(a.load?.queued ?? 0, b.load?.queued ?? 0)
  );
}

/** Whether the result of a target's probes changed too little to be gossiped. */
export function isMinorTargetChange(a: GossipedTarget, b: GossipedTarget): boolean {
  const exactFields = ({
    services,
    leaving,
    failures,
    concurrency,
    models,
  }: GossipedTarget): string => JSON.stringify([services, leaving, failures, concurrency, models]);
  return (
    exactFields(a) === exactFields(b) &&
    // Entries treat a sequence lower than the published one as a restart of the target.
    b.sequence >= a.sequence &&
    b.sequence <= MAX_SEQUENCE_GROWTH_FACTOR * a.sequence &&
    isMinorChange(a.running, b.running) &&
    isMinorChange(a.queued, b.queued) &&
    isMinorChange(a.waitMs, b.waitMs)
  );
}

/** Whether the rounded load figures are equal; minor differences are published after a delay. */
export function equalLoad(a: GossipedTarget, b: GossipedTarget): boolean {
  return a.running === b.running && a.queued === b.queued && a.waitMs === b.waitMs;
}
