/**
 * Computes which targets of a failure domain may load or unload a model now. All control daemons
 * that send orders compute this from the same gossiped states, so they agree without coordination: a
 * target that has a permit keeps it until the gossiped states show the effect.
 */
import { rendezvousOrder } from '../rendezvous.js';
import { modelTag } from './engine-state.js';
import type { Placement, PlacementGroup } from './placement.js';

/** State of an engine target, as received by gossip. */
export interface DomainEngine {
  readonly vm: string;
  /** Healthy and not leaving. */
  readonly usable: boolean;
  /** Its models as `model@version:state`, see `modelTags`. */
  readonly tags: readonly string[];
}

export interface DomainPermits {
  /** VMs of the targets that may load their wanted model now. */
  readonly load: ReadonlySet<string>;
  /** `vm model` pairs that may be unloaded now. */
  readonly unload: ReadonlySet<string>;
  /** `model@version` of each load that failed on any target of the failure domain. */
  readonly failed: ReadonlySet<string>;
}

/** With two loads, one engine reads weights while the other starts up. */
const MAX_CONCURRENT_LOADS = 2;

/**
 * Computes the permits of a failure domain.
 *
 * @example domainPermits(placement, groups, engines).load.hasOwnId('t1')
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
  const withoutWantedModel = engines.filter(({ vm, usable, tags }) => {
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
    withoutWantedModel.map(({ vm }) => vm),
  );
  // Models without any ready target are loaded before further targets of other models.
  const unserved = order.filter((vm) => readyCount(placement.get(vm)?.model, engines) === 0);
  const queue = [...unserved, ...order.filter((vm) => !unserved.includes(vm))];
  return {
    failed,
    load: new Set(queue.slice(0, MAX_CONCURRENT_LOADS)),
    unload: new Set(findUnloadable(placement, groups, engines)),
  };
}

/**
 * Whether a target can be sent an order now, by the gossiped states. A target that waits for a
 * permit need not be polled, since the permit comes with a change of the gossiped states.
 *
 * @example mayReceiveOrder('t1', tags, wanted, permits) // true
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
      const mayUnload = model === wanted?.model || tag.endsWith(':failed');
      return mayUnload || permits.unload.has(`${vm} ${model}`);
    });
}

/**
 * `vm model` pairs of ready models that are not wanted on their target and not needed for the model's
 * minimum of ready targets.
 */
function findUnloadable(
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
