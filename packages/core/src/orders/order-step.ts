/** Chooses the next order that brings one engine closer to its desired state. */
import type { EngineModel, ObservedEngine } from './engine-state.js';
import type { PlacementGroup } from './placement.js';

/** An order in the form that engines accept. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload' | 'set-role';
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

export type OrderStep =
  | { readonly kind: 'none' }
  | { readonly kind: 'wait'; readonly reason: string }
  | { readonly kind: 'order'; readonly order: EngineOrder };

/** What the state of the whole failure domain permits on one target. */
export interface StepPermits {
  readonly load: boolean;
  /** Whether a model that is not wanted on this target may be unloaded. */
  readonly unload: (model: string) => boolean;
  /** Whether a failed load on this target may be retried. */
  readonly retryFailed: boolean;
}

/**
 * Chooses the next step on a target. No other model is unloaded before the wanted one is ready.
 *
 * @example nextStep(group, engine, permits).kind // 'order'
 */
export function nextStep(
  wanted: PlacementGroup | undefined,
  engine: ObservedEngine,
  permits: StepPermits,
): OrderStep {
  const current = wanted && engine.models.find((model) => isWanted(wanted, model));
  if (wanted && current?.state !== 'ready') return loadStep(wanted, current, permits);
  // Adapters are small compared to the weights, so their load is not limited.
  if (wanted && current && !hasAdapters(wanted, current))
    return order('load', wanted, wanted.adapters);
  if (wanted && engine.role !== wanted.role) return order('set-role', wanted);
  return unloadStep(wanted, engine, permits);
}

function loadStep(
  wanted: PlacementGroup,
  current: EngineModel | undefined,
  permits: StepPermits,
): OrderStep {
  if (current?.state === 'loading') return { kind: 'wait', reason: 'loading' };
  if (current?.state === 'failed' && !permits.retryFailed) {
    return { kind: 'wait', reason: `load failed: ${current.message ?? 'no message'}` };
  }
  return permits.load
    ? order('load', wanted, wanted.adapters)
    : { kind: 'wait', reason: 'waiting for bandwidth of the weight store' };
}

function unloadStep(
  wanted: PlacementGroup | undefined,
  engine: ObservedEngine,
  permits: StepPermits,
): OrderStep {
  const surplus = engine.models.filter(
    (model) => model.state !== 'loading' && !(wanted && isWanted(wanted, model)),
  );
  if (surplus.length === 0) return { kind: 'none' };
  const toUnload = surplus.find(
    // The wanted version of the same model replaces the old one.
    ({ model, state }) => model === wanted?.model || state === 'failed' || permits.unload(model),
  );
  if (!toUnload) return { kind: 'wait', reason: 'too few ready targets to unload a model' };
  const { model, version } = toUnload;
  const role = wanted?.role ?? engine.role;
  return { kind: 'order', order: { kind: 'unload', model, version, adapters: [], role } };
}

function order(
  kind: EngineOrder['kind'],
  { model, version, role }: PlacementGroup,
  adapters: readonly string[] = [],
): OrderStep {
  return { kind: 'order', order: { kind, model, version, adapters, role } };
}

function isWanted({ model, version }: PlacementGroup, current: EngineModel): boolean {
  return current.model === model && current.version === version;
}

function hasAdapters({ adapters }: PlacementGroup, current: EngineModel): boolean {
  return adapters.every((adapter) => current.adapters.includes(adapter));
}
