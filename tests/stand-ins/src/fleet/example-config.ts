/** Example configuration and failure domains that the demo and the scenarios use. */
import { createHash } from 'node:crypto';
import type { DomainSpec } from './layout.js';

const KEY_HASH_HEX_CHARS = 32;

/** Hash of an API key, as `customers[].key` of the configuration holds it. */
export function keyHash(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex').slice(0, KEY_HASH_HEX_CHARS);
}

/** API keys of the example configuration, by customer. */
export const ExampleKeys = {
  /** May use all regions. */
  'tent-crew': 'key-tent-crew',
  /** May use only the region `north`. */
  'tartu-archive': 'key-tartu-archive',
  /** May use all regions; for a second load that is independent of `tent-crew`. */
  'blade-mill': 'key-blade-mill',
} as const;

/** Three regions with one failure domain and two entry VMs each; the west has no engines. */
export const exampleDomains: readonly DomainSpec[] = [
  {
    name: 'north-1',
    region: 'north',
    entryVms: 2,
    engines: 2,
    plain: { 'crane-booking': 2 },
  },
  {
    name: 'central-1',
    region: 'central',
    entryVms: 2,
    engines: 2,
    plain: { 'crane-booking': 1 },
  },
  {
    name: 'west-1',
    region: 'west',
    entryVms: 2,
    plain: { 'crane-booking': 1 },
  },
];

/**
 * The value `config/main` for the example domains.
 *
 * @example exampleConfig({ oneWayMs: 80 })
 */
export function exampleConfig({ oneWayMs }: { oneWayMs: number }): object {
  const link = { one_way: `${oneWayMs}ms`, mbit_per_s: 1500 };
  const regions = ['north', 'central', 'west'];
  return {
    format: 1,
    regions: {
      north: { failure_domains: ['north-1'], links: { central: link, west: link } },
      central: { failure_domains: ['central-1'], links: { west: link } },
      west: { failure_domains: ['west-1'] },
    },
    models: { 'manual-reader': { version: '1', weights_mb: 1 } },
    services: {
      'crew-answers': {
        kind: 'model',
        model: 'manual-reader',
        regions,
        targets: { min: 1, max: 4 },
      },
      'crane-booking': {
        kind: 'plain',
        regions,
        operations: [
          { method: 'GET', path: '/slots', repeatable: true },
          { method: 'POST', path: '/slots', repeatable: false },
        ],
      },
    },
    classes: {
      crews: { priority: 50 },
      archive: { priority: 20 },
    },
    customers: [
      { id: 'tent-crew', key: keyHash(ExampleKeys['tent-crew']), class: 'crews' },
      {
        id: 'tartu-archive',
        key: keyHash(ExampleKeys['tartu-archive']),
        class: 'archive',
        regions: ['north'],
      },
      { id: 'blade-mill', key: keyHash(ExampleKeys['blade-mill']), class: 'crews' },
    ],
  };
}
