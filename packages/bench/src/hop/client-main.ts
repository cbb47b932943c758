/** Process of one load client: calls at a rate, then the times to the first event as JSON. */
import { setTimeout as delay } from 'node:timers/promises';
import { Command } from 'commander';
import { LoadClient, type ClientResult } from './load-client.js';

/** Time for the last answers of the warm-up. */
const PAUSE_MS = 500;

const options = new Command('hop-client')
  .requiredOption('--address <address>', 'callers listener of an entry, or an engine')
  .requiredOption('--service <name>', 'service or model to call')
  .requiredOption('--key <key>', 'API key')
  .requiredOption('--per-s <rate>', 'calls a second', Number)
  .requiredOption('--warm-up-ms <ms>', 'calls before the measurement', Number)
  .requiredOption('--for-ms <ms>', 'length of the measurement', Number)
  .requiredOption('--tokens <n>', 'events of an answer', Number)
  .requiredOption('--start-at <ms>', 'wall time of the first call', Number)
  .parse()
  .opts<{
    address: string;
    service: string;
    key: string;
    perS: number;
    warmUpMs: number;
    forMs: number;
    tokens: number;
    startAt: number;
  }>();

const { address, service, key, perS, warmUpMs, forMs, startAt } = options;
const pace = { tokens: options.tokens, intervalMs: 0 };
const client = new LoadClient({ address, service, apiKey: key });
const untilWall = (at: number): Promise<void> => delay(Math.max(0, at - Date.now()));
await untilWall(startAt);
await client.run(perS, warmUpMs, pace);
// Keeps the time between the calls of two clients, whatever the last answer took.
await untilWall(startAt + warmUpMs + PAUSE_MS);
const firstMs = await client.run(perS, forMs, pace);
const result: ClientResult = { firstMs, failed: client.counts.failed };
process.stdout.write(`${JSON.stringify(result)}\n`);
client.close();
