/** State of an engine as the planner sees it. */

export type EngineModelState = 'ready' | 'loading' | 'failed';

export interface EngineModel {
  readonly model: string;
  readonly version: string;
  readonly state: EngineModelState;
  readonly adapters: readonly string[];
  readonly message?: string;
}

/** An engine's own report. */
export interface ObservedEngine {
  readonly models: readonly EngineModel[];
  readonly role: string;
  /** Highest fencing number that the engine accepted; 0 when it does not check them. */
  readonly highestFencing: number;
  readonly observedAt: number;
}

/**
 * Short form of an engine's models, for gossip: `model@version:state`.
 *
 * @example modelTags([{ model: 'm', version: '3', state: 'ready', adapters: [] }]) // ['m@3:ready']
 */
export function modelTags(models: readonly Omit<EngineModel, 'adapters'>[]): string[] {
  return models.map(({ model, version, state }) => modelTag(model, version, state)).sort();
}

/** @example modelTag('m', '3', 'ready') // 'm@3:ready' */
export function modelTag(model: string, version: string, state: EngineModelState): string {
  return `${model}@${version}:${state}`;
}
