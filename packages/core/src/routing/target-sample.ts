/**
 * Samples the targets that are considered for a request: a few at random, plus the one that is
 * expected to cache its shared prefix. Load reports are some hundred ms old, so if all gateways chose
 * the least loaded target, they would all send there until the next report.
 */
import type { RandomSource } from '../random-source.js';
import { SMALL_REGION_MAX_GATEWAYS } from './report-poller-assignment.js';

/** Targets sampled for a request; with more of them the gateways converge on the same target. */
const SAMPLED_TARGETS = 3;
/** Targets sampled when the response would be late at all targets of the first sample. */
const SAMPLED_TARGETS_WHEN_LATE = 10;

export interface SampleOptions {
  /** Live gateways of the region, this one included. */
  readonly gateways: number;
  /** Target that is always part of the sample. */
  readonly preferred?: string | undefined;
  /** Whether the response would be late at all targets of the first sample. */
  readonly late?: boolean;
}

/**
 * Samples the targets for one request.
 *
 * @example sampleTargets(targets, { gateways: 20, preferred: 'i-7' }, random).length // 4
 */
export function sampleTargets<Target extends { readonly id: string }>(
  targets: readonly Target[],
  { gateways, preferred, late = false }: SampleOptions,
  random: RandomSource,
): readonly Target[] {
  const count = late ? SAMPLED_TARGETS_WHEN_LATE : SAMPLED_TARGETS;
  if (gateways <= SMALL_REGION_MAX_GATEWAYS || targets.length <= count + 1) return targets;
  const sampled = sampleIndexes(targets.length, count, random);
  return targets.filter(({ id }, index) => sampled.has(index) || id === preferred);
}

/** Distinct random indexes below `length`, by Floyd's algorithm. */
function sampleIndexes(length: number, count: number, random: RandomSource): ReadonlySet<number> {
  return Array.from({ length: count }, (_, index) => length - count + index).reduce(
    (sampled, last) => {
      const index = Math.floor(random.next() * (last + 1));
      return sampled.add(sampled.has(index) ? last : index);
    },
    new Set<number>(),
  );
}
