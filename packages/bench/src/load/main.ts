/** `npm run load -- --entry ADDRESS --key KEY`: open-loop load on the callers' interface. */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '@marjoramcart/core';
import { Command } from 'commander';
import { arrivalTimes, makePrompt } from './arrivals.js';
import { summariseLoad } from './load-report.js';
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
  .requiredOption('--entry <address...>', 'ip:port of entries; calls go to them in turn')
  .requiredOption('--key <key...>', 'API keys; calls use them in turn')
  .requiredOption('--model <service>', 'model service')
  .option('--rate <number>', 'calls a second', '10')
  .option('--duration <seconds>', 'length of the run', '10')
  .option('--seed <number>', 'seed of the arrivals and prompts', '1')
  .option('--prefixes <number>', 'different prompt prefixes', '20')
  .option('--max-tokens <number>', 'tokens of an answer', '100')
  .option('--deadline <ms>', 'deadline of a call', '30000')
  .option('--first-token <ms>', 'target of the first token', '1300')
  .option('--between-tokens <ms>', 'target between tokens', '72')
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
const report = summariseLoad(results, {
  firstTokenMs: Number(options.firstToken),
  betweenTokensMs: Number(options.betweenTokens),
});
process.stdout.write(
  `${JSON.stringify({ seed: Number(options.seed), rate: Number(options.rate), ...report }, null, 2)}\n`,
);
