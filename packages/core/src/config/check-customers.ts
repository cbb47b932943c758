/** Checks of the customers against the main part and each other. */
import { hasOwnId, knownIdsHint, findDuplicates } from './check-main.js';
import { MAX_CONFIG_ERRORS, type ConfigIssue, type ConfigPart } from './text-fault.js';
import type { CustomerConfig, MainPart } from './text-schema.js';

/** A customer with its place in the text. */
export interface LocatedCustomer {
  readonly customer: CustomerConfig;
  readonly part: ConfigPart;
  readonly index: number;
}

/**
 * Faults of customers. `complete` is false when a part with customers could not be read; then
 * references to customers are not checked.
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
  const faults: ConfigIssue[] = [];
  const unreachable = makeResidencyCheck(main);
  // Stops at the bound: a wrong class id would otherwise be reported for each of 25,000 customers.
  customers.some((placed) => {
    faults.push(
      ...repeated(placed, byId, 'id'),
      ...repeated(placed, byKey, 'key'),
      ...checkReferences(main, placed),
      ...checkResidency(placed, unreachable(placed.customer)),
    );
    return faults.length >= MAX_CONFIG_ERRORS;
  });
  if (!complete || faults.length >= MAX_CONFIG_ERRORS) return faults;
  return [...faults, ...checkMetrics(mainPart, main, byId)];
}

function repeated(
  placed: LocatedCustomer,
  seen: Map<string, LocatedCustomer>,
  field: 'id' | 'key',
): ConfigIssue[] {
  const value = placed.customer[field];
  const first = seen.get(value);
  if (!first) {
    seen.set(value, placed);
    return [];
  }
  const what = field === 'id' ? `customer id '${value}'` : 'API key';
  const message = `the ${what} is already used by customer '${first.customer.id}' in ${first.part.file}`;
  const hint = field === 'id' ? 'use an id of its own' : 'issue an API key of its own';
  return [{ part: placed.part, path: ['customers', placed.index, field], message, hint }];
}

function checkReferences(main: MainPart, { customer, part, index }: LocatedCustomer): ConfigIssue[] {
  const path = ['customers', index];
  const lists = (['regions', 'services'] as const).flatMap((field) => {
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
  const noClass = hasOwnId(main.classes, customer.class)
    ? []
    : [
        {
          path: [...path, 'class'],
          message: `there is no class '${customer.class}'`,
          hint: knownIdsHint('class', main.classes),
        },
      ];
  return [...noClass, ...lists].map((fault) => ({ part, ...fault }));
}

/** Services that a customer may call but that share no region with it. */
function makeResidencyCheck(main: MainPart): (customer: CustomerConfig) => readonly string[] {
  const all = Object.keys(main.services);
  // Customers share few combinations of regions and services.
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
  return [...absent, ...findDuplicates(list, path)].map((fault) => ({ part, ...fault }));
}
