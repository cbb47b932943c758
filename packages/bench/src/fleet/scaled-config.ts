/** Generates configuration values for a fleet of a given size. */
import { createHash } from 'node:crypto';
import { stringify } from 'yaml';

export interface ConfigSize {
  readonly domains: readonly { readonly name: string; readonly region: string }[];
  readonly models: number;
  readonly customers: number;
}

const KEY_LENGTH = 32;
/** Watchers fetch a whole value when one of its customers changes, so values are small. */
const CUSTOMERS_PER_VALUE = 100;
/** Share of the customers that may use only one region. */
const REGION_BOUND_SHARE = 0.17;

/** API key of the nth customer. */
export function customerKey(n: number): string {
  return `key-of-customer-${n}`;
}

/** Names of the models. */
export function modelNames(count: number): string[] {
  return Array.from({ length: count }, (_, n) => `model-${n}`);
}

/** Value of `config/main`. `stamp` changes one limit, so that each stamp gives another value. */
export function mainConfigValue({ domains, models }: ConfigSize, stamp = 0): string {
  const regions = [...new Set(domains.map(({ region }) => region))];
  const link = { one_way: '80ms', mbit_per_s: 1500 };
  const linksOf = (index: number): object =>
    Object.fromEntries(regions.slice(index + 1).map((name) => [name, link]));
  const value = {
    format: 1,
    regions: Object.fromEntries(
      regions.map((region, index) => [
        region,
        {
          failure_domains: domains.filter((d) => d.region === region).map(({ name }) => name),
          links: linksOf(index),
        },
      ]),
    ),
    models: Object.fromEntries(
      modelNames(models).map((name) => [name, { version: '1', weights_mb: 1 }]),
    ),
    services: Object.fromEntries(
      modelNames(models).map((model) => [
        `${model}-service`,
        { kind: 'model', model, regions, targets: { min: 1, max: 1000 } },
      ]),
    ),
    classes: { crews: { priority: 50 } },
    limits: { weight_store_mbit_per_s: 1000 + stamp },
    customers: [{ id: 'bench', key: keyHash('bench-key'), class: 'crews' }],
  };
  // The configuration checker rejects YAML aliases, which `stringify` emits for repeated objects.
  return stringify(value, { aliasDuplicateObjects: false });
}

/** Values `config/customers-*`; the customer numbered `changed` has a limit that depends on `stamp`. */
export function customerConfigValues(
  size: ConfigSize,
  changed = -1,
  stamp = 0,
): Map<string, string> {
  const parts = Math.ceil(size.customers / CUSTOMERS_PER_VALUE);
  return new Map(
    Array.from({ length: parts }, (_, part) => [
      `config/customers-${part}`,
      customersValue(size, part, changed, stamp),
    ]),
  );
}

/** Key and value that hold customer `n`, with a limit for it that depends on `stamp`. */
export function changedCustomerValue(size: ConfigSize, n: number, stamp: number): [string, string] {
  const part = Math.floor(n / CUSTOMERS_PER_VALUE);
  return [`config/customers-${part}`, customersValue(size, part, n, stamp)];
}

function customersValue(size: ConfigSize, part: number, changed: number, stamp: number): string {
  const first = part * CUSTOMERS_PER_VALUE;
  const count = Math.min(CUSTOMERS_PER_VALUE, size.customers - first);
  const regions = [...new Set(size.domains.map(({ region }) => region))];
  const lines = Array.from({ length: count }, (_, k) => {
    const n = first + k;
    const isRegionBound = (n % 100) / 100 < REGION_BOUND_SHARE;
    const regionList = isRegionBound ? `, regions: [${regions[n % regions.length]}]` : '';
    const limits = n === changed ? `, limits: {requests_per_s: ${1 + stamp}}` : '';
    return `  - {id: customer-${n}, key: ${keyHash(customerKey(n))}, class: crews${regionList}${limits}}`;
  });
  return `format: 1\ncustomers:\n${lines.join('\n')}\n`;
}

function keyHash(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex').slice(0, KEY_LENGTH);
}
