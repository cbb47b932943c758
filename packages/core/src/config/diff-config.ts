/** Compares two accepted configurations: which values change, and how that affects the fleet. */
import { allowedRegions } from '../residency/allowed-regions.js';
import type { CustomerConfig, MainPart, ServiceConfig } from './config-schema.js';

/** A configuration without validation errors. */
export interface AcceptedConfig {
  readonly main: MainPart;
  readonly customers: readonly CustomerConfig[];
}

/** One changed value; the subject is for example `service booking`. */
export interface ConfigChange {
  readonly subject: string;
  readonly change: string;
}

export interface ConfigDiff {
  readonly changes: readonly ConfigChange[];
  /** What the gateway does when the new configuration is applied. */
  readonly effects: readonly string[];
}

/** Maximum number of customers listed in one effect; the others are only counted. */
const MAX_LISTED_CUSTOMERS = 10;

/**
 * Compares two configurations.
 *
 * @example diffConfigs(config, config) // { changes: [], effects: [] }
 */
export function diffConfigs(before: AcceptedConfig, after: AcceptedConfig): ConfigDiff {
  const changes = [
    ...diffRecord('region', before.main.regions, after.main.regions),
    ...diffRecord('model', before.main.models, after.main.models),
    ...diffRecord('service', before.main.services, after.main.services),
    ...diffRecord('class', before.main.classes, after.main.classes),
    ...diffFields('limits', before.main.limits, after.main.limits),
    ...diffFields('metrics', before.main.metrics, after.main.metrics),
    ...diffRecord('customer', byId(before.customers), byId(after.customers)),
  ];
  const effects = [
    ...placementEffects(before.main, after.main),
    ...targetEffects(before.main, after.main),
    ...accessEffects(before, after),
  ];
  return { changes, effects };
}

function byId(customers: readonly CustomerConfig[]): Record<string, CustomerConfig> {
  return Object.fromEntries(customers.map((customer) => [customer.id, customer]));
}

function diffRecord(
  kind: string,
  before: Readonly<Record<string, object>>,
  after: Readonly<Record<string, object>>,
): ConfigChange[] {
  const removed = Object.keys(before)
    .filter((id) => !Object.hasOwn(after, id))
    .map((id) => ({ subject: `${kind} ${id}`, change: 'removed' }));
  const others = Object.entries(after).flatMap(([id, value]) =>
    Object.hasOwn(before, id)
      ? diffFields(`${kind} ${id}`, before[id] ?? {}, value)
      : [{ subject: `${kind} ${id}`, change: 'added' }],
  );
  return [...removed, ...others];
}

function diffFields(subject: string, before: object, after: object): ConfigChange[] {
  const old = flatten(before, '');
  const now = flatten(after, '');
  return [...new Set([...old.keys(), ...now.keys()])]
    .filter((key) => old.get(key) !== now.get(key))
    .map((key) => {
      const change = `${key}: ${old.get(key) ?? '(none)'} -> ${now.get(key) ?? '(none)'}`;
      return { subject, change };
    });
}

/** Returns the values by dotted path; a list is one value. */
function flatten(value: object, prefix: string): Map<string, string> {
  const pairs = Object.entries(value).flatMap<[string, string]>(
    ([key, child]: [string, unknown]) => {
      if (child === undefined) return [];
      const path = `${prefix}${key}`;
      if (typeof child === 'object' && child !== null && !Array.isArray(child)) {
        return [...flatten(child, `${path}.`)];
      }
      return [[path, formatValue(child)]];
    },
  );
  return new Map(pairs);
}

function formatValue(value: unknown): string {
  if (!Array.isArray(value)) return String(value);
  const items = value.map((item) => (typeof item === 'string' ? item : JSON.stringify(item)));
  return `[${items.join(', ')}]`;
}

/** What runs in each failure domain, as descriptions such as `model m version 3`. */
function placements(main: MainPart): Map<string, Set<string>> {
  const result = new Map<string, Set<string>>();
  Object.entries(main.services).forEach(([id, service]) =>
    service.regions
      .flatMap((region) => main.regions[region]?.failure_domains ?? [])
      .forEach((domain) => {
        const items = result.get(domain) ?? new Set();
        result.set(domain, items);
        itemsOf(main, id, service).forEach((item) => items.add(item));
      }),
  );
  return result;
}

function itemsOf(main: MainPart, id: string, service: ServiceConfig): string[] {
  if (service.kind === 'plain') return [`plain service ${id}`];
  const version = main.models[service.model]?.version ?? '';
  const model = `model ${service.model} version ${version}`;
  return service.adapter === undefined
    ? [model]
    : [model, `adapter ${service.adapter} of ${model}`];
}

const REPLACED_SUFFIX = ' once its replacement is ready';

/** Description of what runs, without the version. */
function nameOf(item: string): string {
  return item.replace(/ version .*/, '');
}

function placementEffects(before: MainPart, after: MainPart): string[] {
  const old = placements(before);
  const now = placements(after);
  const loads = new Map<string, string[]>();
  const retirements = new Map<string, string[]>();
  const add = (map: Map<string, string[]>, item: string, domain: string): void => {
    map.set(item, [...(map.get(item) ?? []), domain]);
  };
  [...new Set([...old.keys(), ...now.keys()])].sort().forEach((domain) => {
    const oldItems = old.get(domain) ?? new Set<string>();
    const newItems = now.get(domain) ?? new Set<string>();
    [...newItems].filter((item) => !oldItems.has(item)).forEach((item) => add(loads, item, domain));
    [...oldItems]
      .filter((item) => !newItems.has(item))
      .forEach((item) => {
        // The old version is unloaded only after the version that replaces it is ready.
        const replaced = [...newItems].some((other) => nameOf(other) === nameOf(item));
        add(retirements, `${item}${replaced ? REPLACED_SUFFIX : ''}`, domain);
      });
  });
  return [
    ...[...loads].map(([item, domains]) =>
      item.startsWith('plain')
        ? `${item} receives calls in ${domains.join(', ')}`
        : `${item} is loaded in ${domains.join(', ')}`,
    ),
    ...[...retirements].map(([item, domains]) => {
      const where = domains.join(', ');
      if (item.startsWith('plain')) return `${item} receives no more calls in ${where}`;
      return item.endsWith(REPLACED_SUFFIX)
        ? `${item.slice(0, -REPLACED_SUFFIX.length)} is retired in ${where}${REPLACED_SUFFIX}`
        : `${item} is retired in ${where}`;
    }),
  ];
}

function targetEffects(before: MainPart, after: MainPart): string[] {
  return Object.entries(after.services).flatMap(([id, { targets, regions }]) => {
    const old = Object.hasOwn(before.services, id) ? before.services[id]?.targets : undefined;
    if (!old || (old.min === targets.min && old.max === targets.max)) return [];
    const domains = regions.flatMap((region) => after.regions[region]?.failure_domains ?? []);
    const range = `${targets.min} to ${targets.max} targets instead of ${old.min} to ${old.max}`;
    return [`service ${id} holds ${range} in each of ${domains.join(', ')}`];
  });
}

function accessEffects(before: AcceptedConfig, after: AcceptedConfig): string[] {
  const oldCustomers = new Map(before.customers.map((customer) => [customer.id, customer]));
  const newCustomers = new Map(after.customers.map((customer) => [customer.id, customer]));
  const ids = [...new Set([...oldCustomers.keys(), ...newCustomers.keys()])];
  const oldRegionsOf = makeAllowedRegionsLookup(before.main);
  const newRegionsOf = makeAllowedRegionsLookup(after.main);
  const services = new Set([
    ...Object.keys(before.main.services),
    ...Object.keys(after.main.services),
  ]);
  const effects = [...services].flatMap((service) => {
    const lost: string[] = [];
    const gained: string[] = [];
    const fewer: string[] = [];
    ids.forEach((id) => {
      const old = oldRegionsOf(oldCustomers.get(id), service);
      const now = newRegionsOf(newCustomers.get(id), service);
      if (old.length > 0 && now.length === 0) lost.push(id);
      else if (old.length === 0 && now.length > 0) gained.push(id);
      else if (old.some((region) => !now.includes(region))) fewer.push(id);
    });
    return [
      ...effectOf(lost, `lose access to service ${service}`),
      ...effectOf(gained, `gain access to service ${service}`),
      ...effectOf(fewer, `are no longer served in every earlier region by service ${service}`),
    ];
  });
  const withNewKey = ids.filter((id) => {
    const old = oldCustomers.get(id);
    const now = newCustomers.get(id);
    return old !== undefined && now !== undefined && old.key !== now.key;
  });
  return [...effects, ...effectOf(withNewKey, 'have a new API key; the old one is refused')];
}

function effectOf(ids: readonly string[], what: string): string[] {
  if (ids.length === 0) return [];
  const named = ids.slice(0, MAX_LISTED_CUSTOMERS).join(', ');
  const rest = ids.length - MAX_LISTED_CUSTOMERS;
  const more = rest > 0 ? ` and ${rest} more` : '';
  return [`customers that ${what}: ${ids.length} (${named}${more})`];
}

/** Returns a function for the regions in which a customer may call a service, with a cache. */
function makeAllowedRegionsLookup(main: MainPart) {
  const cache = new Map<string, readonly string[]>();
  return (customer: CustomerConfig | undefined, id: string): readonly string[] => {
    if (!customer || !Object.hasOwn(main.services, id)) return [];
    if (customer.services && !customer.services.includes(id)) return [];
    const key = `${id}|${customer.regions?.join() ?? '*'}`;
    const service = main.services[id];
    const regions = cache.get(key) ?? (service ? allowedRegions(main, customer, service) : []);
    cache.set(key, regions);
    return regions;
  };
}
