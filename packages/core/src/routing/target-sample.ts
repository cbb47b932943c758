/**
 * Load pattern: many gateways that choose among the same targets by the same reports, which are some
 * hundred ms old. If each took the target that looks least loaded, all would send there until the
 * next report. Each request is therefore offered a few targets drawn at random, and the one that is
 * expected to hold its shared parts.
 */
import type { RandomSource } from '../random-source.js';
import { SMALL_REGION_MAX_GATEWAYS } from './report-duty.js';

/** Targets drawn for a request; more bring the gateways back to the same target. */
const DRAWN_TARGETS = 3;
/** Targets drawn when the answer would be late at all of the first ones. */
const DRAWN_WHEN_LATE = 10;

export interface SampleOptions {
  /** Live gateways of the region, this one included. */
  readonly gateways: number;
  /** Target that is offered in any case. */
  readonly preferred?: string | undefined;
  /** The answer would be late at all targets of a first sample. */
  readonly late?: boolean;
}

/**
 * Targets that one request is offered.
 *
 * @example sampleTargets(targets, { gateways: 20, preferred: 'i-7' }, random).length // 4
 */
export function sampleTargets<Target extends { readonly id: string }>(
  targets: readonly Target[],
  { gateways, preferred, late = false }: SampleOptions,
  random: RandomSource,
): readonly Target[] {
  const count = late ? DRAWN_WHEN_LATE : DRAWN_TARGETS;
  if (gateways <= SMALL_REGION_MAX_GATEWAYS || targets.length <= count + 1) return targets;
  const drawn = drawIndexes(targets.length, count, random);
  return targets.filter(({ id }, index) => drawn.has(index) || id === preferred);
}

/** Different indexes below `length`, by Floyd's algorithm. */
function drawIndexes(length: number, count: number, random: RandomSource): ReadonlySet<number> {
  return Array.from({ length: count }, (_, index) => length - count + index).reduce(
    (drawn, last) => {
      const index = Math.floor(random.next() * (last + 1));
      return drawn.add(drawn.has(index) ? last : index);
    },
    new Set<number>(),
  );
}
