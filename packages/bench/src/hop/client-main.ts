/** Process of one load client: sends calls at a fixed rate and prints the first-event times as JSON. */
import { setTimeout as delay } from 'node:timers/promises';
import { Command } from 'commander';
import { LoadClient, type ClientResult } from './load-client.js';

/** Pause for the last responses of the warm-up. */
const WARM_UP_DRAIN_MS = 500;

const options = new Command('hop-client')
  .requiredOption('--address <address>', 'address of an entry for callers, or of an engine')
  .requiredOption('--service <name>', 'service or model to call')
  .requiredOption('--key <key>', 'API key')
  .requiredOption('--per-s <rate>', 'calls per second', Number)
  .requiredOption('--warm-up-ms <ms>', 'length of the warm-up', Number)
  .requiredOption('--for-ms <ms>', 'length of the measurement', Number)
  .requiredOption('--tokens <n>', 'events per response', Number)
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
const pacing = { tokens: options.tokens, intervalMs: 0 };
const client = new LoadClient({ address, service, apiKey: key });
const waitUntilWallTime = (at: number): Promise<void> => delay(Math.max(0, at - Date.now()));
await waitUntilWallTime(startAt);
await client.run(perS, warmUpMs, pacing);
// A fixed start time keeps the phase offset between two clients, however long the warm-up took.
await waitUntilWallTime(startAt + warmUpMs + WARM_UP_DRAIN_MS);
const firstMs = await client.run(perS, forMs, pacing);
const result: ClientResult = { firstMs, failed: client.counts.failed };
process.stdout.write(`${JSON.stringify(result)}\n`);
client.close();
