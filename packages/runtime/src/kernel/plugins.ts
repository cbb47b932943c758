/**
 * Plugin registry. A plugin module registers its plugin when it is imported. A daemon imports its
 * built-in plugin modules and creates the plugins that its settings name.
 */

export const PluginKind = {
  RoutingPolicy: 'routing-policy',
  AdmissionPolicy: 'admission-policy',
  TargetKind: 'target-kind',
  PlatformCodec: 'platform-codec',
} as const;
export type PluginKind = (typeof PluginKind)[keyof typeof PluginKind];

/** A named factory for one kind of component. */
export interface Plugin<Instance = unknown, Options = unknown> {
  readonly kind: PluginKind;
  readonly name: string;
  readonly create: (options: Options) => Instance;
}

const registry = new Map<string, Plugin>();

/**
 * Registers a plugin.
 *
 * @throws Error when a plugin of this kind and name is already registered.
 * @example registerPlugin({ kind: PluginKind.RoutingPolicy, name: 'random', create: () => policy })
 */
export function registerPlugin<Instance, Options>(plugin: Plugin<Instance, Options>): void {
  const id = pluginId(plugin.kind, plugin.name);
  if (registry.has(id)) throw new Error(`plugin ${id} is already registered`);
  registry.set(id, plugin as Plugin);
}

/**
 * Creates an instance of a registered plugin.
 *
 * @throws Error when no such plugin is registered. The message lists the registered names.
 * @example createPlugin<RoutingPolicy>(PluginKind.RoutingPolicy, 'random', { seed: 1 })
 */
export function createPlugin<Instance>(
  kind: PluginKind,
  name: string,
  options: unknown = {},
): Instance {
  const plugin = registry.get(pluginId(kind, name));
  if (!plugin) {
    throw new Error(`unknown ${kind} '${name}'; known: ${pluginNames(kind).join(', ') || 'none'}`);
  }
  return plugin.create(options) as Instance;
}

/**
 * Names of the registered plugins of one kind.
 *
 * @example pluginNames(PluginKind.RoutingPolicy) // ['random', 'round-robin']
 */
export function pluginNames(kind: PluginKind): string[] {
  return [...registry.values()]
    .filter((plugin) => plugin.kind === kind)
    .map(({ name }) => name)
    .sort();
}

function pluginId(kind: PluginKind, name: string): string {
  return `${kind}/${name}`;
}
