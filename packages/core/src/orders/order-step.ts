/** Next order that brings one engine closer to what is wanted there. */
import type { EngineModel, ObservedEngine } from './engine-state.js';
import type { PlacementGroup } from './placement.js';

/** An order as engines take it. */
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

/** What the state of the whole failure domain permits on this target. */
export interface StepPermits {
  readonly load: boolean;
  /** Whether a model that is not wanted on this target may be retired. */
  readonly unload: (model: string) => boolean;
  /** Whether a failed load of this target may be tried again. */
  readonly retryFailed: boolean;
}

/**
 * Next step on a target. The wanted model is loaded and ready before anything else is retired.
 *
 * @example nextStep(group, engine, permits).kind // 'order'
 */
export function nextStep(
  wanted: PlacementGroup | undefined,
  engine: ObservedEngine,
  permits: StepPermits,
): OrderStep {
  const held = wanted && engine.models.find((model) => isWanted(wanted, model));
  if (wanted && held?.state !== 'ready') return loadStep(wanted, held, permits);
  // Adapters are small beside the weights and need no share of the weight store.
  if (wanted && held && !hasAdapters(wanted, held)) return order('load', wanted, wanted.adapters);
  if (wanted && engine.role !== wanted.role) return order('set-role', wanted);
  return retireStep(wanted, engine, permits);
}

function loadStep(
  wanted: PlacementGroup,
  held: EngineModel | undefined,
  permits: StepPermits,
): OrderStep {
  if (held?.state === 'loading') return { kind: 'wait', reason: 'loading' };
  if (held?.state === 'failed' && !permits.retryFailed) {
    return { kind: 'wait', reason: `load failed: ${held.message ?? 'no message'}` };
  }
  return permits.load
    ? order('load', wanted, wanted.adapters)
    : { kind: 'wait', reason: 'waiting for the share of the weight store' };
}

function retireStep(
  wanted: PlacementGroup | undefined,
  engine: ObservedEngine,
  permits: StepPermits,
): OrderStep {
  const surplus = engine.models.filter(
    (model) => model.state !== 'loading' && !(wanted && isWanted(wanted, model)),
  );
  if (surplus.length === 0) return { kind: 'none' };
  const retired = surplus.find(
    // The wanted version of the same model serves in place of the old one.
    ({ model, state }) => model === wanted?.model || state === 'failed' || permits.unload(model),
  );
  if (!retired) return { kind: 'wait', reason: 'too few ready targets to retire a model' };
  const { model, version } = retired;
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

function isWanted({ model, version }: PlacementGroup, held: EngineModel): boolean {
  return held.model === model && held.version === version;
}

function hasAdapters({ adapters }: PlacementGroup, held: EngineModel): boolean {
  return adapters.every((adapter) => held.adapters.includes(adapter));
}
