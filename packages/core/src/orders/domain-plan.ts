/**
 * What the state of a failure domain permits on each target. All orderers compute it from the same
 * gossiped states, so that they agree without talking to each other: a target that was permitted
 * first stays first until the states show the effect.
 */
import { rendezvousOrder } from '../rendezvous.js';
import { modelTag } from './engine-state.js';
import type { Placement, PlacementGroup } from './placement.js';

/** Engine target as gossiped. */
export interface DomainEngine {
  readonly vm: string;
  /** Healthy and not leaving. */
  readonly usable: boolean;
  /** Short forms of its models, see `modelTags`. */
  readonly tags: readonly string[];
}

export interface DomainPermits {
  /** Targets that may load now. */
  readonly load: ReadonlySet<string>;
  /** `vm model` pairs that may be retired now. */
  readonly unload: ReadonlySet<string>;
  /** `model@version` whose load failed somewhere in the failure domain. */
  readonly failed: ReadonlySet<string>;
}

/** Two loads overlap, so that one reads the weights while the other starts up. */
const MAX_CONCURRENT_LOADS = 2;

/**
 * Permits of a failure domain.
 *
 * @example domainPermits(placement, groups, engines).load.has('t1')
 */
export function domainPermits(
  placement: Placement,
  groups: readonly PlacementGroup[],
  engines: readonly DomainEngine[],
): DomainPermits {
  const failed = new Set(
    groups
      .filter(({ model, version }) => {
        const tag = modelTag(model, version, 'failed');
        return engines.some(({ tags }) => tags.includes(tag));
      })
      .map(({ model, version }) => `${model}@${version}`),
  );
  const missing = engines.filter(({ vm, usable, tags }) => {
    const wanted = placement.get(vm);
    return (
      usable &&
      wanted !== undefined &&
      !failed.has(`${wanted.model}@${wanted.version}`) &&
      !tags.includes(modelTag(wanted.model, wanted.version, 'ready'))
    );
  });
  const order = rendezvousOrder(
    'loads',
    missing.map(({ vm }) => vm),
  );
  // A model with no ready target at all goes before further targets of models that serve.
  const unserved = order.filter((vm) => readyCount(placement.get(vm)?.model, engines) === 0);
  const queue = [...unserved, ...order.filter((vm) => !unserved.includes(vm))];
  return {
    failed,
    load: new Set(queue.slice(0, MAX_CONCURRENT_LOADS)),
    unload: new Set(retirable(placement, groups, engines)),
  };
}

/**
 * Whether the gossiped states let a target take an order now. Targets that wait for a permit need
 * not be observed: the permit comes with a change of the gossiped states.
 *
 * @example mayAdvance('t1', tags, wanted, permits) // true
 */
export function mayReceiveOrder(
  vm: string,
  tags: readonly string[],
  wanted: PlacementGroup | undefined,
  permits: DomainPermits,
): boolean {
  const tagOf = (state: 'ready' | 'failed'): string | undefined =>
    wanted && modelTag(wanted.model, wanted.version, state);
  const failedTag = tagOf('failed');
  if (failedTag !== undefined && tags.includes(failedTag)) return true;
  const readyTag = tagOf('ready');
  if (readyTag !== undefined && !tags.includes(readyTag)) return permits.load.has(vm);
  return tags
    .filter((tag) => tag !== readyTag)
    .some((tag) => {
      const model = tag.slice(0, tag.lastIndexOf('@'));
      const isRetired = model === wanted?.model || tag.endsWith(':failed');
      return isRetired || permits.unload.has(`${vm} ${model}`);
    });
}

/** Targets beyond the minimum that hold a ready model which is not wanted there. */
function retirable(
  placement: Placement,
  groups: readonly PlacementGroup[],
  engines: readonly DomainEngine[],
): string[] {
  const models = new Set(
    engines.flatMap(({ tags }) => tags.map((tag) => tag.slice(0, tag.lastIndexOf('@')))),
  );
  return [...models].flatMap((model) => {
    const min = Math.max(0, ...groups.filter((g) => g.model === model).map((g) => g.min));
    const spare = readyCount(model, engines) - min;
    const surplus = engines
      .filter(({ vm, tags }) => isReady(model, tags) && placement.get(vm)?.model !== model)
      .map(({ vm }) => vm)
      .sort();
    return surplus.slice(0, Math.max(0, spare)).map((vm) => `${vm} ${model}`);
  });
}

/** Number of usable targets on which any version of the model is ready. */
export function readyCount(model: string | undefined, engines: readonly DomainEngine[]): number {
  return engines.filter(({ usable, tags }) => usable && isReady(model, tags)).length;
}

function isReady(model: string | undefined, tags: readonly string[]): boolean {
  return tags.some((tag) => tag.startsWith(`${model}@`) && tag.endsWith(':ready'));
}
