/**
 * `npm run soak -- --seeds 50`: gateways on the stand-in of the users' platform under random faults.
 * Prints a line for each seed, and what was broken.
 */
import { Command } from 'commander';
import { runSoak } from './run-soak.js';

interface Options {
  readonly from: string;
  readonly seeds: string;
  readonly seconds: string;
  readonly port: string;
}

const options = new Command('soak')
  .option('--from <seed>', 'first seed; by the clock when left out')
  .option('--seeds <count>', 'seeds to run', '5')
  .option('--seconds <s>', 'how long faults are injected for each seed', '15')
  .option('--port <port>', 'first of a hundred free ports', '26000')
  .parse()
  .opts<Options>();

const { log } = console;
const first = Number(options.from ?? Math.floor(Date.now() / 1000) % 1_000_000);
const red: number[] = [];

// Seeds run one after the other, as each of them uses the same ports.
/* eslint-disable no-await-in-loop */
for (let seed = first; seed < first + Number(options.seeds); seed += 1) {
  const { requests, served, faults, violations, folder } = await runSoak({
    seed,
    faultsMs: Number(options.seconds) * 1000,
    basePort: Number(options.port),
  });
  log(
    `seed ${seed}: ${faults.length} faults, ${requests} requests, ${served} served, ${violations.length} broken promises`,
  );
  violations.forEach(({ guarantee: promise, detail }) => log(`  ${promise}: ${detail}`));
  if (violations.length > 0) {
    red.push(seed);
    faults.forEach(({ kind, at, endedAt, component: where }) => {
      log(`  ${at} to ${endedAt} ${kind} ${where}`);
    });
    log(`  logs in ${folder}`);
  }
}
/* eslint-enable no-await-in-loop */
if (red.length > 0) {
  log(`red seeds: ${red.join(', ')}`);
  process.exitCode = 1;
}
