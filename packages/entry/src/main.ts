#!/usr/bin/env node
/** Command line of the entry daemon. Exit codes: 0 done, 1 failure, 2 usage or settings. */
import './heap-settings.js';
import { Command, CommanderError } from 'commander';
import {
  Kernel,
  Metrics,
  createLogger,
  entrySettingsSchema,
  loadSettings,
  type EntrySettings,
} from '@marjoramcart/platform';
import { createEntry } from './entry-daemon.js';

const VERSION = '0.1.0';
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

interface Options {
  readonly config: string;
  readonly check?: boolean;
}

function fail(message: string, code: number): void {
  process.stderr.write(`marjoramcart-entry: ${message}\n`);
  process.exitCode = code;
}

function readSettings(file: string): EntrySettings | undefined {
  const result = loadSettings(file, entrySettingsSchema);
  if (result.kind === 'valid') return result.value;
  if (result.kind === 'unreadable') fail(result.message, EXIT_USAGE);
  else {
    const [fault] = result.faults;
    const place = fault ? `:${fault.line}:${fault.column}: ` : ': ';
    const subject = fault?.path ? `${fault.path}: ` : '';
    fail(`${file}${place}${subject}${fault?.message ?? 'invalid settings'}`, EXIT_USAGE);
  }
  return undefined;
}

async function run(settings: EntrySettings): Promise<void> {
  const log = createLogger({ ...settings.log, name: 'entry' });
  const metrics = new Metrics();
  const kernel = new Kernel({ log, metrics });
  const { timers } = kernel;
  const checkPause = (): void => timers.checkPause();
  const daemon = createEntry(settings, { timers, log, metrics, checkPause });
  daemon.tasks.forEach((task) => kernel.add(task));
  log.info('starting', { boot_id: daemon.bootId });
  await kernel.run();
}

async function main(argv: readonly string[]): Promise<void> {
  const program = new Command('marjoramcart-entry')
    .description('Entry daemon of marjoramcart')
    .version(VERSION)
    .requiredOption('--config <file>', 'settings file (YAML)')
    .option('--check', 'check the settings and exit')
    .configureOutput({ outputError: () => undefined })
    .exitOverride();
  try {
    program.parse([...argv]);
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err;
    if (err.exitCode !== 0)
      fail((err.message.split('\n')[0] ?? '').replace(/^error: /, ''), EXIT_USAGE);
    return;
  }
  const options = program.opts<Options>();
  const settings = readSettings(options.config);
  if (!settings) return;
  if (options.check === true) {
    process.stdout.write('settings are valid\n');
    return;
  }
  await run(settings);
}

main(process.argv).catch((err: unknown) => {
  fail(err instanceof Error ? err.message : String(err), EXIT_FAILURE);
  // Listeners that were opened before the failure would hold the process.
  // eslint-disable-next-line n/no-process-exit
  process.exit(EXIT_FAILURE);
});
