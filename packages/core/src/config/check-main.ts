/** Validates what the schema of the main part can't express, such as references and links. */
import { MAX_CONFIG_ERRORS, type ConfigIssue, type ConfigPart } from './config-error.js';
import type { MainPart, ServiceConfig } from './config-schema.js';

type Issue = Omit<ConfigIssue, 'part'>;
type Path = readonly PropertyKey[];

/**
 * Returns the validation errors in references, links, dependencies and limits of the main part.
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
  ].map((issue) => ({ part, ...issue }));
}

/**
 * Whether a record has an own property; ids such as `constructor` are inherited by every object.
 *
 * @example hasOwnId({ a: 1 }, 'constructor') // false
 */
export function hasOwnId(record: object, id: string): boolean {
  return Object.hasOwn(record, id);
}

/**
 * Returns a hint that lists the known ids.
 *
 * @example knownIdsHint('region', { north: {} }) // 'known regions: north'
 */
export function knownIdsHint(kind: string, record: object): string {
  const ids = Object.keys(record);
  const shown = ids.slice(0, 12).join(', ');
  const plural = kind.endsWith('s') ? `${kind}es` : `${kind}s`;
  const rest = ids.length > 12 ? ` and ${ids.length - 12} more` : '';
  return ids.length > 0 ? `known ${plural}: ${shown}${rest}` : `the configuration has no ${kind}`;
}

/**
 * Returns an error for each value that occurs earlier in the same list.
 *
 * @example findDuplicates(['a', 'a'], ['regions'])[0]?.path // ['regions', 1]
 */
export function findDuplicates(list: readonly string[], path: Path): Issue[] {
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

function checkEmpty(main: MainPart): Issue[] {
  return (['regions', 'classes'] as const)
    .filter((key) => Object.keys(main[key]).length === 0)
    .map((key) => ({ path: [key], message: `${key} is empty`, hint: 'define at least one' }));
}

function checkFailureDomains(main: MainPart): Issue[] {
  const owners = new Map<string, string>();
  return Object.entries(main.regions).flatMap(([region, { failure_domains: domains }]) =>
    domains.flatMap((domain, index) => {
      const owner = owners.get(domain);
      owners.set(domain, owner ?? region);
      if (owner === undefined) return [];
      const message = `failure domain '${domain}' is already in region '${owner}'`;
      const path = ['regions', region, 'failure_domains', index];
      return [{ path, message, hint: 'give each failure domain a unique id' }];
    }),
  );
}

function checkLinks(main: MainPart): Issue[] {
  const ids = Object.keys(main.regions);
  const wrongLinks = Object.entries(main.regions).flatMap(([from, { links }]) =>
    Object.entries(links).flatMap(([to, link]) => {
      const path = ['regions', from, 'links', to];
      if (to === from) {
        const message = `region '${from}' has a link to itself`;
        return [{ path, message, atKey: true, hint: 'remove the link' }];
      }
      if (!hasOwnId(main.regions, to))
        return [{ ...unknownId('region', to, main.regions, path), atKey: true }];
      const back = linkOf(main, to, from);
      const same = !back || (back.one_way === link.one_way && back.mbit_per_s === link.mbit_per_s);
      // The pair is reported once, at the region that comes later in the configuration.
      if (same || ids.indexOf(from) < ids.indexOf(to)) return [];
      const message =
        `the link ${from} - ${to} has other values here (${link.one_way}ms, ` +
        `${link.mbit_per_s} Mbit/s) than at '${to}' (${back.one_way}ms, ${back.mbit_per_s} Mbit/s)`;
      return [
        { path, message, atKey: true, hint: 'define the link once; it applies in both directions' },
      ];
    }),
  );
  return [...wrongLinks, ...missingLinks(main, ids)];
}

/** Stops at the limit: thousands of regions have millions of pairs without a link. */
function missingLinks(main: MainPart, ids: readonly string[]): Issue[] {
  const issues: Issue[] = [];
  ids.some((from, index) =>
    ids.some((to, position) => {
      if (position > index && !linkOf(main, from, to) && !linkOf(main, to, from)) {
        issues.push({
          path: ['regions', from],
          atKey: true,
          message: `the link between regions '${from}' and '${to}' is missing`,
          hint: `add links: { ${to}: { one_way: 80ms, mbit_per_s: 1000 } } with the measured values`,
        });
      }
      return issues.length >= MAX_CONFIG_ERRORS;
    }),
  );
  return issues;
}

function linkOf(main: MainPart, from: string, to: string) {
  const links = main.regions[from]?.links ?? {};
  return hasOwnId(links, to) ? links[to] : undefined;
}

function checkModels(main: MainPart): Issue[] {
  return Object.entries(main.models).flatMap(([id, { adapters }]) =>
    findDuplicates(adapters, ['models', id, 'adapters']),
  );
}

function checkService(main: MainPart, id: string, service: ServiceConfig): Issue[] {
  const path = ['services', id];
  const { min, max } = service.targets;
  const wrongBounds =
    min > max
      ? [
          {
            path: [...path, 'targets'],
            message: `the minimum of ${min} targets is above the maximum of ${max}`,
            hint: 'raise max or lower min',
          },
        ]
      : [];
  const unknownRegions = service.regions.flatMap((region, index) =>
    hasOwnId(main.regions, region)
      ? []
      : [unknownId('region', region, main.regions, [...path, 'regions', index])],
  );
  return [
    ...wrongBounds,
    ...unknownRegions,
    ...findDuplicates(service.regions, [...path, 'regions']),
    ...findDuplicates(service.depends_on, [...path, 'depends_on']),
    ...checkDependencies(main, path, service),
    ...(service.kind === 'model' ? checkModelService(main, path, service) : []),
    ...(service.kind === 'plain' ? checkOperations(path, service) : []),
  ];
}

function checkDependencies(main: MainPart, path: Path, service: ServiceConfig): Issue[] {
  return service.depends_on.flatMap((dependency, index) => {
    const at = [...path, 'depends_on', index];
    if (!hasOwnId(main.services, dependency))
      return [unknownId('service', dependency, main.services, at)];
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
): Issue[] {
  if (!hasOwnId(main.models, model))
    return [unknownId('model', model, main.models, [...path, 'model'])];
  const adapters = main.models[model]?.adapters ?? [];
  if (adapter === undefined || adapters.includes(adapter)) return [];
  const known = Object.fromEntries(adapters.map((name) => [name, true]));
  return [unknownId('adapter', adapter, known, [...path, 'adapter'])];
}

function checkOperations(
  path: Path,
  { operations }: Extract<ServiceConfig, { kind: 'plain' }>,
): Issue[] {
  const names = operations.map((operation) => `${operation.method} ${operation.path}`);
  return findDuplicates(names, [...path, 'operations']);
}

function unknownId(kind: string, id: string, known: object, path: Path): Issue {
  return { path, message: `there is no ${kind} '${id}'`, hint: knownIdsHint(kind, known) };
}

/**
 * Reports each cycle of dependencies that a depth-first search finds. The search is iterative, since a
 * long chain of services would overflow the stack.
 */
function checkCycles(main: MainPart): Issue[] {
  const done = new Set<string>();
  const issues: Issue[] = [];
  Object.keys(main.services).forEach((root) => {
    // Services on the path from the root, each with its dependencies that are not visited yet.
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
        issues.push(cycleIssue(next, stack.slice(stack.indexOf(next))));
      } else if (!done.has(next) && hasOwnId(main.services, next)) {
        enter(next);
        stack.push(next);
      }
    }
  });
  return issues;
}

const MAX_SERVICES_IN_MESSAGE = 12;

function cycleIssue(id: string, cycle: readonly string[]): Issue {
  const more = cycle.length > MAX_SERVICES_IN_MESSAGE ? ['...'] : [];
  const shown = [...cycle.slice(0, MAX_SERVICES_IN_MESSAGE), ...more, id].join(' -> ');
  return {
    path: ['services', id, 'depends_on'],
    message: `the services depend on each other in a cycle: ${shown}`,
    hint: 'remove one of these dependencies',
  };
}
