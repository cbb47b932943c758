/** Validates customers against the main part and against each other. */
import { hasOwnId, knownIdsHint, findDuplicates } from './check-main.js';
import { MAX_CONFIG_ERRORS, type ConfigIssue, type ConfigPart } from './config-error.js';
import type { CustomerConfig, MainPart } from './config-schema.js';

/** A customer with its position in the configuration. */
export interface LocatedCustomer {
  readonly customer: CustomerConfig;
  readonly part: ConfigPart;
  readonly index: number;
}

/**
 * Returns the validation errors of customers. `complete` is false when a part with customers could not
 * be parsed; then references to customers are not checked.
 *
 * @example checkCustomers(part, main, [], true) // []
 */
export function checkCustomers(
  mainPart: ConfigPart,
  main: MainPart,
  customers: readonly LocatedCustomer[],
  complete: boolean,
): ConfigIssue[] {
  const byId = new Map<string, LocatedCustomer>();
  const byKey = new Map<string, LocatedCustomer>();
  const issues: ConfigIssue[] = [];
  const unreachableServices = makeUnreachableServicesLookup(main);
  // Stops at the limit: a wrong class id would otherwise be reported for each of 25,000 customers.
  customers.some((located) => {
    issues.push(
      ...checkUnique(located, byId, 'id'),
      ...checkUnique(located, byKey, 'key'),
      ...checkReferences(main, located),
      ...checkResidency(located, unreachableServices(located.customer)),
    );
    return issues.length >= MAX_CONFIG_ERRORS;
  });
  if (!complete || issues.length >= MAX_CONFIG_ERRORS) return issues;
  return [...issues, ...checkMetrics(mainPart, main, byId)];
}

function checkUnique(
  located: LocatedCustomer,
  seen: Map<string, LocatedCustomer>,
  field: 'id' | 'key',
): ConfigIssue[] {
  const value = located.customer[field];
  const first = seen.get(value);
  if (!first) {
    seen.set(value, located);
    return [];
  }
  const what = field === 'id' ? `customer id '${value}'` : 'API key';
  const message = `the ${what} is already used by customer '${first.customer.id}' in ${first.part.file}`;
  const hint = field === 'id' ? 'use a unique id' : 'issue a separate API key';
  return [{ part: located.part, path: ['customers', located.index, field], message, hint }];
}

function checkReferences(
  main: MainPart,
  { customer, part, index }: LocatedCustomer,
): ConfigIssue[] {
  const path = ['customers', index];
  const wrongLists = (['regions', 'services'] as const).flatMap((field) => {
    const list = customer[field] ?? [];
    const kind = field === 'regions' ? 'region' : 'service';
    const absent = list.flatMap((id, position) =>
      hasOwnId(main[field], id)
        ? []
        : [
            {
              path: [...path, field, position],
              message: `there is no ${kind} '${id}'`,
              hint: knownIdsHint(kind, main[field]),
            },
          ],
    );
    return [...absent, ...findDuplicates(list, [...path, field])];
  });
  const wrongClass = hasOwnId(main.classes, customer.class)
    ? []
    : [
        {
          path: [...path, 'class'],
          message: `there is no class '${customer.class}'`,
          hint: knownIdsHint('class', main.classes),
        },
      ];
  return [...wrongClass, ...wrongLists].map((issue) => ({ part, ...issue }));
}

/** Returns the function that finds the services a customer may call but shares no region with. */
function makeUnreachableServicesLookup(
  main: MainPart,
): (customer: CustomerConfig) => readonly string[] {
  const all = Object.keys(main.services);
  // Cached, since customers have few different combinations of regions and services.
  const cache = new Map<string, readonly string[]>();
  return ({ regions, services }) => {
    if (!regions) return [];
    const cacheKey = `${regions.join()}|${services?.join() ?? '*'}`;
    const cached = cache.get(cacheKey);
    if (cached) return cached;
    const result = (services ?? all).filter(
      (id) =>
        hasOwnId(main.services, id) &&
        main.services[id]?.regions.every((region) => !regions.includes(region)),
    );
    cache.set(cacheKey, result);
    return result;
  };
}

function checkResidency(
  { customer, part, index }: LocatedCustomer,
  unreachable: readonly string[],
): ConfigIssue[] {
  if (unreachable.length === 0) return [];
  const names = unreachable.map((id) => `'${id}'`).join(', ');
  const message = `customer '${customer.id}' may call ${names} but shares no region with it`;
  const hint = customer.services
    ? 'remove the service from the customer or allow a region of the service'
    : 'list the services that the customer may call, or allow a region of the service';
  const field = customer.services ? 'services' : 'regions';
  return [{ part, path: ['customers', index, field], message, hint }];
}

function checkMetrics(
  part: ConfigPart,
  main: MainPart,
  byId: ReadonlyMap<string, LocatedCustomer>,
): ConfigIssue[] {
  const path = ['metrics', 'customers'];
  const list = main.metrics.customers;
  const absent = list.flatMap((id, index) =>
    byId.has(id)
      ? []
      : [
          {
            path: [...path, index],
            message: `there is no customer '${id}'`,
            hint: 'remove the id or add the customer',
          },
        ],
  );
  return [...absent, ...findDuplicates(list, path)].map((issue) => ({ part, ...issue }));
}
