/** State of an engine, from which its next order is chosen. */

export type EngineModelState = 'ready' | 'loading' | 'failed';

export interface EngineModel {
  readonly model: string;
  readonly version: string;
  readonly state: EngineModelState;
  readonly adapters: readonly string[];
  readonly message?: string;
}

/** Models, role and fencing number that an engine reported. */
export interface ObservedEngine {
  readonly models: readonly EngineModel[];
  readonly role: string;
  /** Highest fencing number that the engine accepted; 0 when it does not check fencing numbers. */
  readonly highestFencing: number;
  /** Time of the observation on this process's clock, in ms. */
  readonly observedAt: number;
}

/**
 * Encodes an engine's models for gossip as `model@version:state`, sorted.
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
