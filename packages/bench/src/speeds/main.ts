/** `npm run bench:speeds`: compares how gateways choose among targets of uneven speed. */
import { Command } from 'commander';
import { Choice, simulateUneven, type UnevenLoad } from './simulate-uneven.js';

const options = new Command('bench-speeds')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds', '5')
  .parse()
  .opts<{ readonly seed: string; readonly seeds: string }>();

const changing = (target: number, now: number): number =>
  (Math.floor(now / 100) * 7 + target * 3) % 8 === 0 ? 6 : 1;
const small = { targets: 8, gateways: 6 };

const loads: Readonly<Record<string, UnevenLoad>> = {
  'equal targets': { ...small, perTargetPerS: 180, slowness: () => 1 },
  'speeds 0.6, 1.0 and 1.6': {
    targets: 9,
    gateways: 6,
    perTargetPerS: 220,
    slowness: (target) => [1 / 0.6, 1, 1 / 1.6][target % 3] ?? 1,
  },
  'one slows to a fifth at 5 requests': {
    ...small,
    perTargetPerS: 100,
    slowness: (target, _, running) => (target === 0 && running > 4 ? 5 : 1),
  },
  'one of eight slow by 6 for 3 s each': {
    ...small,
    perTargetPerS: 120,
    slowness: (target, now) => ((Math.floor(now / 3000) + target) % 8 === 0 ? 6 : 1),
  },
  'speeds that change every 100 ms': { ...small, perTargetPerS: 150, slowness: changing },
  'the same with a figure': {
    ...small,
    perTargetPerS: 150,
    slowness: changing,
    figure: (target, now) => changing(target, now) * 100,
  },
  '4 of 40 slow by 6, 88 gateways': {
    targets: 40,
    gateways: 88,
    perTargetPerS: 60,
    slowness: (target) => (target < 4 ? 6 : 1),
  },
};

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

const seeds = Array.from(
  { length: Number(options.seeds) },
  (_, index) => Number(options.seed) + index,
);
process.stdout.write('| load | choice | late | p99 ms |\n|---|---|---|---|\n');
Object.entries(loads).forEach(([name, load]) =>
  Object.values(Choice).forEach((choice) => {
    const outcomes = seeds.map((seed) => simulateUneven(load, choice, seed));
    const late = median(outcomes.map(({ lateShare }) => lateShare));
    const p99 = median(outcomes.map(({ p99Ms }) => p99Ms));
    process.stdout.write(`| ${name} | ${choice} | ${late.toFixed(4)} | ${Math.round(p99)} |\n`);
  }),
);
