/** `npm run load -- --entry ADDRESS --key KEY`: open-loop load generator for entry daemons. */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '@marjoramcart/core';
import { Command } from 'commander';
import { arrivalTimes, makePrompt } from './arrivals.js';
import { summarizeLoad } from './load-report.js';
import { sendStreamedCall } from './streamed-call.js';

interface Options {
  readonly entry: readonly string[];
  readonly key: readonly string[];
  readonly model: string;
  readonly rate: string;
  readonly duration: string;
  readonly seed: string;
  readonly prefixes: string;
  readonly maxTokens: string;
  readonly deadline: string;
  readonly firstToken: string;
  readonly betweenTokens: string;
}

const options = new Command('load')
  .requiredOption('--entry <address...>', 'ip:port of entries; used round-robin')
  .requiredOption('--key <key...>', 'API keys; used round-robin')
  .requiredOption('--model <service>', 'model service')
  .option('--rate <number>', 'calls per second', '10')
  .option('--duration <seconds>', 'length of the run', '10')
  .option('--seed <number>', 'seed of the arrivals and prompts', '1')
  .option('--prefixes <number>', 'number of distinct prompt prefixes', '20')
  .option('--max-tokens <number>', 'maximum output tokens per call', '100')
  .option('--deadline <ms>', 'deadline of a call', '30000')
  .option('--first-token <ms>', 'latency target for the first token', '1300')
  .option('--between-tokens <ms>', 'latency target between tokens', '72')
  .parse()
  .opts<Options>();

const random = seededRandom(Number(options.seed));
const agent = new Agent({ keepAlive: true });
const times = arrivalTimes(Number(options.rate), Number(options.duration) * 1000, random);
const calls = times.map((at, index) => ({
  at,
  entry: options.entry[index % options.entry.length] ?? '',
  key: options.key[index % options.key.length] ?? '',
  prompt: makePrompt(Math.floor(random.next() * Number(options.prefixes)), index),
}));
const startedAt = performance.now();
const results = await Promise.all(
  calls.map(async ({ at, entry, key, prompt }) => {
    await sleep(Math.max(0, at - (performance.now() - startedAt)));
    return sendStreamedCall({
      entry,
      key,
      prompt,
      agent,
      dueAt: startedAt + at,
      model: options.model,
      maxTokens: Number(options.maxTokens),
      deadlineMs: Number(options.deadline),
    });
  }),
);
agent.destroy();
const report = summarizeLoad(results, {
  firstTokenMs: Number(options.firstToken),
  betweenTokensMs: Number(options.betweenTokens),
});
process.stdout.write(
  `${JSON.stringify({ seed: Number(options.seed), rate: Number(options.rate), ...report }, null, 2)}\n`,
);
