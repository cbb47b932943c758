/**
 * Validates the operators' configuration, as a pure function of all its parts. The configuration is
 * either accepted as a whole or rejected with its errors.
 */
import { checkCustomers, type LocatedCustomer } from './check-customers.js';
import { checkMain } from './check-main.js';
import { parsePart, type PartResult } from './parse-part.js';
import {
  locateIssues,
  MAX_CONFIG_ERRORS,
  type ConfigIssue,
  type ConfigError,
  type ConfigPart,
} from './config-error.js';
import {
  customersPartSchema,
  mainPartSchema,
  type CustomerConfig,
  type CustomersPart,
  type MainPart,
} from './config-schema.js';

export type ConfigCheckResult =
  | {
      readonly kind: 'accepted';
      readonly main: MainPart;
      readonly customers: readonly CustomerConfig[];
    }
  | { readonly kind: 'rejected'; readonly errors: readonly ConfigError[] };

/** Key of the main part in the configuration service. */
export const MAIN_KEY = 'config/main';
/** Prefix of the keys of parts with customers only. */
export const CUSTOMERS_KEY_PREFIX = 'config/customers-';

/**
 * Converts the values of the configuration service to parts, in the order of their keys.
 *
 * @example configPartsOf(new Map([['config/main', 'format: 1']]))[0]?.file // 'config/main'
 */
export function configPartsOf(values: ReadonlyMap<string, string>): ConfigPart[] {
  return [...values]
    .map(([file, text]) => ({ file, text }))
    .sort((a, b) => (a.file < b.file ? -1 : 1));
}

/** Parses the parts. It may cache results, since a result depends on the part alone. */
export interface PartParser {
  main(part: ConfigPart): PartResult<MainPart>;
  customers(part: ConfigPart): PartResult<CustomersPart>;
}

/** Parses each part without a cache. */
export const uncachedParser: PartParser = {
  main: (part) => parsePart(part, mainPartSchema),
  customers: (part) => parsePart(part, customersPartSchema),
};

/**
 * Validates a configuration. A part whose file name or key begins with `customers` after its last
 * slash holds customers only; exactly one other part must exist, the main part.
 *
 * @example checkConfig([{ file: 'config/main', text: 'format: 1' }]).kind // 'rejected'
 */
export function checkConfig(
  parts: readonly ConfigPart[],
  parser = uncachedParser,
): ConfigCheckResult {
  const mainParts = parts.filter((part) => !isCustomersPart(part));
  const [mainPart, secondMain] = mainParts;
  if (!mainPart || secondMain) return rejected([wrongMainCount(parts, secondMain)], []);

  const main = parser.main(mainPart);
  const customersParts = parts
    .filter(isCustomersPart)
    .map((part) => ({ part, result: parser.customers(part) }));
  const results = [main, ...customersParts.map(({ result }) => result)];
  const unreadable = results.flatMap((result) =>
    result.kind === 'unreadable' ? [result.error] : [],
  );
  const invalid = results.flatMap((result) => (result.kind === 'invalid' ? result.issues : []));
  if (main.kind !== 'parsed') return rejected(unreadable, invalid);

  const customers = [
    ...locateCustomers(mainPart, main.value),
    ...customersParts.flatMap(({ part, result }) =>
      result.kind === 'parsed' ? locateCustomers(part, result.value) : [],
    ),
  ];
  const complete = unreadable.length + invalid.length === 0;
  const found = [
    ...invalid,
    ...checkMain(mainPart, main.value),
    ...checkCustomers(mainPart, main.value, customers, complete),
  ];
  return unreadable.length + found.length > 0
    ? rejected(unreadable, found)
    : { kind: 'accepted', main: main.value, customers: customers.map(({ customer }) => customer) };
}

/** Whether a part holds customers only, judged by its file name or key. */
export function isCustomersPart({ file }: ConfigPart): boolean {
  return file.slice(file.lastIndexOf('/') + 1).startsWith('customers');
}

/** Returns the customers of a part with their positions in it. */
export function locateCustomers(
  part: ConfigPart,
  value: CustomersPart | MainPart,
): LocatedCustomer[] {
  return value.customers.map((customer, index) => ({ customer, part, index }));
}

function wrongMainCount(parts: readonly ConfigPart[], second: ConfigPart | undefined): ConfigError {
  const start = { line: 1, column: 1 };
  return second
    ? {
        file: second.file,
        ...start,
        message: 'there is already another main part',
        hint: `keep one main part; names of parts with customers must begin with 'customers'`,
      }
    : {
        file: parts[0]?.file ?? MAIN_KEY,
        ...start,
        message: 'the main part is missing',
        hint: `add ${MAIN_KEY} with regions, services and classes`,
      };
}

function rejected(
  unreadable: readonly ConfigError[],
  found: readonly ConfigIssue[],
): ConfigCheckResult {
  const located = locateIssues(found.slice(0, MAX_CONFIG_ERRORS));
  return { kind: 'rejected', errors: [...unreadable, ...located].slice(0, MAX_CONFIG_ERRORS) };
}
