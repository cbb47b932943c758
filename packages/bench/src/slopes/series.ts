/** Series of fleet sizes: each varies one dimension and keeps the others small. */
import type { FleetSize } from '../fleet/bench-fleet.js';

export interface SeriesPoint {
  readonly x: number;
  readonly size: FleetSize;
  readonly changesPerDay: number;
}

export interface Series {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly SeriesPoint[];
}

const base: FleetSize = {
  domains: 2,
  peers: 3,
  otherPeers: 1,
  entriesPerVm: 1,
  targets: 20,
  customers: 500,
  models: 4,
};

function series(
  name: string,
  unit: string,
  values: readonly number[],
  change: (x: number) => Partial<FleetSize>,
  changesPerDay: (x: number) => number = () => 0,
): Series {
  const points = values.map((x) => ({
    x,
    size: { ...base, ...change(x) },
    changesPerDay: changesPerDay(x),
  }));
  return { name, unit, points };
}

/**
 * The planned 1,800 configuration changes a day are one every 48 s; the `changes` series uses higher
 * rates so that changes fall into the measurement window.
 */
export const allSeries: readonly Series[] = [
  series('peers', 'control daemon of the failure domain', [2, 4, 8, 16], (peers) => ({ peers })),
  series('domains', 'failure domain', [2, 7, 14, 28], (domains) => ({ domains })),
  series('targets', 'target of the failure domain', [0, 30, 60, 120], (targets) => ({ targets })),
  series('customers', 'customer', [0, 5000, 12_500, 25_000], (customers) => ({ customers })),
  series('models', 'model', [1, 4, 8, 11], (models) => ({ models })),
  series(
    'changes',
    'change a day at 25,000 customers',
    [0, 10_800, 21_600, 43_200],
    () => ({ customers: 25_000 }),
    (x) => x,
  ),
  series('entries', 'entry process of a VM', [0, 1, 2, 4], (entriesPerVm) => ({ entriesPerVm })),
  series('fleet', 'control daemon of the fleet', [8, 16, 32, 64], (x) => ({
    domains: 8,
    peers: x / 8,
    otherPeers: x / 8,
    targets: 8,
  })),
];

/** The largest failure domain planned in two years; all other failure domains have one VM. */
export const largestDomain: FleetSize = {
  domains: 28,
  peers: 12,
  otherPeers: 1,
  entriesPerVm: 2,
  targets: 120,
  customers: 25_000,
  models: 11,
};

/** An average failure domain of the same fleet: 3.8 VMs, rounded up. */
export const averageDomain: FleetSize = { ...largestDomain, peers: 4, targets: 39 };
