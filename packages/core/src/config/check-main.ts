/** Checks within the main part that the schema can't express. */
import { MAX_CONFIG_ERRORS, type ConfigIssue, type ConfigPart } from './text-fault.js';
import type { MainPart, ServiceConfig } from './text-schema.js';

type Fault = Omit<ConfigIssue, 'part'>;
type Path = readonly PropertyKey[];

/**
 * Faults in references, links, dependencies and bounds of the main part.
 *
 * @example checkMain(part, main) // []
 */
export function checkMain(part: ConfigPart, main: MainPart): ConfigIssue[] {
  return [
    ...checkFailureDomains(main),
    ...checkLinks(main),
    ...checkModels(main),
    ...Object.entries(main.services).flatMap(([id, service]) => checkService(main, id, service)),
    ...checkCycles(main),
    ...checkEmpty(main),
  ].map((fault) => ({ part, ...fault }));
}

/**
 * Whether a record has an entry of its own; ids such as `constructor` exist on every object.
 *
 * @example has({ a: 1 }, 'constructor') // false
 */
export function hasOwnId(record: object, id: string): boolean {
  return Object.hasOwn(record, id);
}

/**
 * Hint that lists the known ids.
 *
 * @example knownIds('region', { north: {} }) // 'known regions: north'
 */
export function knownIdsHint(kind: string, record: object): string {
  const ids = Object.keys(record);
  const shown = ids.slice(0, 12).join(', ');
  const plural = kind.endsWith('s') ? `${kind}es` : `${kind}s`;
  const rest = ids.length > 12 ? ` and ${ids.length - 12} more` : '';
  return ids.length > 0 ? `known ${plural}: ${shown}${rest}` : `the text has no ${kind}`;
}

/**
 * Faults for the values that occur earlier in the same list.
 *
 * @example repeatedItems(['a', 'a'], ['regions'])[0]?.path // ['regions', 1]
 */
export function findDuplicates(list: readonly string[], path: Path): Fault[] {
  const seen = new Set<string>();
  return list.flatMap((item, index) => {
    if (!seen.has(item)) {
      seen.add(item);
      return [];
    }
    const message = `'${item}' is listed twice`;
    return [{ path: [...path, index], message, hint: 'remove one of the two' }];
  });
}

function checkEmpty(main: MainPart): Fault[] {
  return (['regions', 'classes'] as const)
    .filter((key) => Object.keys(main[key]).length === 0)
    .map((key) => ({ path: [key], message: `${key} is empty`, hint: 'define at least one' }));
}

function checkFailureDomains(main: MainPart): Fault[] {
  const owners = new Map<string, string>();
  return Object.entries(main.regions).flatMap(([region, { failure_domains: domains }]) =>
    domains.flatMap((domain, index) => {
      const owner = owners.get(domain);
      owners.set(domain, owner ?? region);
      if (owner === undefined) return [];
      const message = `failure domain '${domain}' is already in region '${owner}'`;
      const path = ['regions', region, 'failure_domains', index];
      return [{ path, message, hint: 'give each failure domain an id of its own' }];
    }),
  );
}

function checkLinks(main: MainPart): Fault[] {
  const ids = Object.keys(main.regions);
  const given = Object.entries(main.regions).flatMap(([from, { links }]) =>
    Object.entries(links).flatMap(([to, link]) => {
      const path = ['regions', from, 'links', to];
      if (to === from) {
        const message = `region '${from}' has a link to itself`;
        return [{ path, message, atKey: true, hint: 'remove the link' }];
      }
      if (!hasOwnId(main.regions, to))
        return [{ ...dangling('region', to, main.regions, path), atKey: true }];
      const back = linkOf(main, to, from);
      const same = !back || (back.one_way === link.one_way && back.mbit_per_s === link.mbit_per_s);
      // The pair is reported once, at the region that comes later in the text.
      if (same || ids.indexOf(from) < ids.indexOf(to)) return [];
      const message =
        `the link ${from} - ${to} has other figures here (${link.one_way}ms, ` +
        `${link.mbit_per_s} Mbit/s) than at '${to}' (${back.one_way}ms, ${back.mbit_per_s} Mbit/s)`;
      return [{ path, message, atKey: true, hint: 'give the link once; it counts both ways' }];
    }),
  );
  return [...given, ...missingLinks(main, ids)];
}

/** Stops early: a text with thousands of regions has millions of pairs without a link. */
function missingLinks(main: MainPart, ids: readonly string[]): Fault[] {
  const faults: Fault[] = [];
  ids.some((from, index) =>
    ids.some((to, position) => {
      if (position > index && !linkOf(main, from, to) && !linkOf(main, to, from)) {
        faults.push({
          path: ['regions', from],
          atKey: true,
          message: `the link between regions '${from}' and '${to}' is missing`,
          hint: `add links: { ${to}: { one_way: 80ms, mbit_per_s: 1000 } } with the measured figures`,
        });
      }
      return faults.length >= MAX_CONFIG_ERRORS;
    }),
  );
  return faults;
}

function linkOf(main: MainPart, from: string, to: string) {
  const links = main.regions[from]?.links ?? {};
  return hasOwnId(links, to) ? links[to] : undefined;
}

function checkModels(main: MainPart): Fault[] {
  return Object.entries(main.models).flatMap(([id, { adapters }]) =>
    findDuplicates(adapters, ['models', id, 'adapters']),
  );
}

function checkService(main: MainPart, id: string, service: ServiceConfig): Fault[] {
  const path = ['services', id];
  const { min, max } = service.targets;
  const bounds =
    min > max
      ? [
          {
            path: [...path, 'targets'],
            message: `the minimum of ${min} targets is above the maximum of ${max}`,
            hint: 'raise max or lower min',
          },
        ]
      : [];
  const regions = service.regions.flatMap((region, index) =>
    hasOwnId(main.regions, region)
      ? []
      : [dangling('region', region, main.regions, [...path, 'regions', index])],
  );
  return [
    ...bounds,
    ...regions,
    ...findDuplicates(service.regions, [...path, 'regions']),
    ...findDuplicates(service.depends_on, [...path, 'depends_on']),
    ...checkDependencies(main, path, service),
    ...(service.kind === 'model' ? checkModelService(main, path, service) : []),
    ...(service.kind === 'plain' ? checkOperations(path, service) : []),
  ];
}

function checkDependencies(main: MainPart, path: Path, service: ServiceConfig): Fault[] {
  return service.depends_on.flatMap((dependency, index) => {
    const at = [...path, 'depends_on', index];
    if (!hasOwnId(main.services, dependency))
      return [dangling('service', dependency, main.services, at)];
    const absent = service.regions.filter(
      (region) => !main.services[dependency]?.regions.includes(region),
    );
    if (absent.length === 0) return [];
    const where = absent.map((region) => `'${region}'`).join(', ');
    const message = `the service depends on '${dependency}', which is not in ${where}`;
    const hint = `add ${where} to the regions of '${dependency}' or remove it from this service`;
    return [{ path: at, message, hint }];
  });
}

function checkModelService(
  main: MainPart,
  path: Path,
  { model, adapter }: Extract<ServiceConfig, { kind: 'model' }>,
): Fault[] {
  if (!hasOwnId(main.models, model)) return [dangling('model', model, main.models, [...path, 'model'])];
  const adapters = main.models[model]?.adapters ?? [];
  if (adapter === undefined || adapters.includes(adapter)) return [];
  const known = Object.fromEntries(adapters.map((name) => [name, true]));
  return [dangling('adapter', adapter, known, [...path, 'adapter'])];
}

function checkOperations(
  path: Path,
  { operations }: Extract<ServiceConfig, { kind: 'plain' }>,
): Fault[] {
  const names = operations.map((operation) => `${operation.method} ${operation.path}`);
  return findDuplicates(names, [...path, 'operations']);
}

function dangling(kind: string, id: string, known: object, path: Path): Fault {
  return { path, message: `there is no ${kind} '${id}'`, hint: knownIdsHint(kind, known) };
}

/** Each cycle of dependencies that a depth-first search meets; without recursion, for long chains. */
function checkCycles(main: MainPart): Fault[] {
  const done = new Set<string>();
  const faults: Fault[] = [];
  Object.keys(main.services).forEach((root) => {
    // Services on the path from the root, each with the dependencies that are still to visit.
    const path = new Map<string, string[]>();
    const enter = (id: string): void => {
      path.set(id, [...(main.services[id]?.depends_on ?? [])]);
    };
    if (!done.has(root)) enter(root);
    const stack = [...path.keys()];
    while (stack.length > 0) {
      const id = stack.at(-1) ?? root;
      const next = path.get(id)?.shift();
      if (next === undefined) {
        stack.pop();
        path.delete(id);
        done.add(id);
      } else if (path.has(next)) {
        faults.push(cycleFault(next, stack.slice(stack.indexOf(next))));
      } else if (!done.has(next) && hasOwnId(main.services, next)) {
        enter(next);
        stack.push(next);
      }
    }
  });
  return faults;
}

const MAX_SHOWN_SERVICES = 12;

function cycleFault(id: string, cycle: readonly string[]): Fault {
  const more = cycle.length > MAX_SHOWN_SERVICES ? ['...'] : [];
  const shown = [...cycle.slice(0, MAX_SHOWN_SERVICES), ...more, id].join(' -> ');
  return {
    path: ['services', id, 'depends_on'],
    message: `the services depend on each other in a cycle: ${shown}`,
    hint: 'remove one of these dependencies',
  };
}
