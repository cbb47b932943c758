/** Finds the services with fewer ready targets than wanted, and since when that is so. */
import type { PlacementGap, TargetState } from '../messages/messages.js';
import type { ConfigView } from '../config/snapshot.js';
import { modelTag } from './engine-state.js';
import type { DomainEngine, DomainPermits } from './domain-permits.js';
import type { Placement, PlacementGroup } from './placement.js';

type Gap = Omit<PlacementGap, 'sinceMs'>;

export interface GapInputs {
  readonly cfg: Pick<ConfigView, 'services'>;
  readonly region: string;
  readonly failureDomain: string;
  readonly groups: readonly PlacementGroup[];
  readonly placement: Placement;
  readonly engines: readonly DomainEngine[];
  readonly permits: DomainPermits;
  readonly states: readonly TargetState[];
}

/**
 * Gaps of model services, which count ready targets with the wanted version, and of plain services,
 * which compare ready targets with the configured minimum.
 */
export function findGaps(inputs: GapInputs): Gap[] {
  return [...inputs.groups.flatMap((group) => groupGaps(group, inputs)), ...plainGaps(inputs)];
}

/** Tracks how long each gap has existed. */
export class GapTracker {
  private readonly since = new Map<string, number>();

  /** Adds to each gap how long it has existed, in ms. */
  track(gaps: readonly Gap[], nowMs: number): PlacementGap[] {
    const names = new Set(gaps.map(({ service }) => service));
    [...this.since.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.since.delete(name));
    return gaps.map((gap) => {
      const since = this.since.get(gap.service) ?? nowMs;
      this.since.set(gap.service, since);
      return { ...gap, sinceMs: Math.round(nowMs - since) };
    });
  }
}

function groupGaps(group: PlacementGroup, inputs: GapInputs): Gap[] {
  const { placement, engines, permits, failureDomain } = inputs;
  const placed = engines.filter(({ vm }) => placement.get(vm)?.id === group.id);
  const tag = modelTag(group.model, group.version, 'ready');
  const ready = placed.filter(({ usable, tags }) => usable && tags.includes(tag)).length;
  const wanted = Math.max(placed.length, group.min);
  if (ready >= wanted) return [];
  const name = `${group.model}@${group.version}`;
  const cause = placed.length < group.min ? 'too few targets in the failure domain' : 'loading';
  const reason = permits.failed.has(name)
    ? `loading ${name} failed; the rollout is stopped`
    : cause;
  return group.services.map((service) => ({ failureDomain, service, wanted, ready, reason }));
}

function plainGaps({ cfg, region, failureDomain, states }: GapInputs): Gap[] {
  return Object.entries(cfg.services)
    .filter(([, { kind, regions }]) => kind === 'plain' && regions.includes(region))
    .map(([service, { targets }]) => {
      const ready = states.filter(
        (state) => state.healthy && !state.leaving && state.services.includes(service),
      ).length;
      const reason = 'too few ready targets';
      return { failureDomain, service, wanted: targets.min, ready, reason };
    })
    .filter(({ wanted, ready }) => ready < wanted);
}
