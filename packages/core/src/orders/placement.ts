/** Decides which engine target of a failure domain holds which model, as a pure function. */
import murmurhash from 'murmurhash';
import type { ConfigView } from '../config/snapshot.js';
import type { ModelServiceConfig } from '../config/config-schema.js';

/** Model services that share targets because they use the same model in the same role. */
export interface PlacementGroup {
  readonly id: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: ModelServiceConfig['role'];
  readonly services: readonly string[];
  readonly min: number;
  readonly max: number;
  readonly weightsMb: number;
}

/** Assigned group by VM of the target. */
export type Placement = ReadonlyMap<string, PlacementGroup>;

/**
 * Groups of the model services that may run in a region.
 *
 * @example placementGroups(view, 'north')[0]?.model
 */
export function placementGroups(
  cfg: Pick<ConfigView, 'services' | 'models'>,
  region: string,
): PlacementGroup[] {
  const groups = new Map<string, PlacementGroup>();
  Object.entries(cfg.services).forEach(([name, service]) => {
    if (service.kind !== 'model' || !service.regions.includes(region)) return;
    const model = cfg.models[service.model];
    if (!model) return;
    const id = `${service.model}/${service.role}`;
    const existing = groups.get(id);
    const adapters = new Set([
      ...(existing?.adapters ?? model.adapters),
      ...(service.adapter === undefined ? [] : [service.adapter]),
    ]);
    groups.set(id, {
      id,
      model: service.model,
      version: model.version,
      adapters: [...adapters].sort(),
      role: service.role,
      services: [...(existing?.services ?? []), name],
      // Services of a group share its targets, so the largest minimum suffices for all.
      min: Math.max(existing?.min ?? 0, service.targets.min),
      max: (existing?.max ?? 0) + service.targets.max,
      weightsMb: model.weights_mb,
    });
  });
  return [...groups.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * Number of targets of each group. The minima are met first; further targets are distributed in
 * proportion to the minima, up to the maxima.
 *
 * @example targetsPerGroup(groups, 12).get('advice-7b/mixed')
 */
export function targetsPerGroup(
  groups: readonly PlacementGroup[],
  targets: number,
): Map<string, number> {
  const quotas = new Map(groups.map(({ id }) => [id, 0]));
  const quota = (id: string): number => quotas.get(id) ?? 0;
  const addTarget = (eligible: (group: PlacementGroup) => boolean): boolean => {
    const next = groups
      .filter(eligible)
      .sort(
        (a, b) => (quota(a.id) + 1) / Math.max(1, a.min) - (quota(b.id) + 1) / Math.max(1, b.min),
      )[0];
    if (next) quotas.set(next.id, quota(next.id) + 1);
    return next !== undefined;
  };
  Array.from({ length: targets }).forEach(() => {
    if (!addTarget(({ id, min }) => quota(id) < min)) addTarget(({ id, max }) => quota(id) < max);
  });
  return quotas;
}

/**
 * Assigns each target to a group. Pairs of target and group are assigned in order of their rendezvous
 * hash, so that adding or removing one target changes few assignments.
 *
 * @example placeModels(groups, ['t1', 't2']).get('t1')?.model
 */
export function placeModels(
  groups: readonly PlacementGroup[],
  targets: readonly string[],
): Placement {
  const remaining = targetsPerGroup(groups, targets.length);
  const placement = new Map<string, PlacementGroup>();
  const pairs = targets.flatMap((vm) =>
    groups.map((group) => ({ vm, group, score: murmurhash.v3(`place/${vm}\n${group.id}`) })),
  );
  pairs
    .sort((a, b) => b.score - a.score || (a.vm < b.vm ? -1 : 1))
    .forEach(({ vm, group }) => {
      const free = remaining.get(group.id) ?? 0;
      if (placement.has(vm) || free === 0) return;
      placement.set(vm, group);
      remaining.set(group.id, free - 1);
    });
  return placement;
}
