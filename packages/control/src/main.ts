#!/usr/bin/env node
/** Command line of `marjoramcart-control`. */
import { Command, CommanderError } from 'commander';
import {
  controlSettingsSchema,
  createLogger,
  loadSettings,
  type ControlSettings,
} from '@marjoramcart/platform';
import { createControlDaemon } from './daemon.js';

const VERSION = '0.1.0';

/** Exit codes; 2 tells a wrong command line or settings file from a failure to run. */
const ExitCode = { Ok: 0, Failure: 1, Usage: 2 } as const;

interface Options {
  readonly config: string;
  readonly check?: boolean;
}

const program = new Command('marjoramcart-control')
  .description('Control daemon of marjoramcart')
  .requiredOption('--config <file>', 'YAML settings of this process')
  .option('--check', 'check the settings and exit')
  .version(VERSION)
  .exitOverride()
  .configureOutput({ outputError: (text, write) => write(`marjoramcart-control: ${text}`) });

try {
  program.parse();
  await run(program.opts<Options>());
} catch (err) {
  if (err instanceof CommanderError) process.exitCode = err.exitCode && ExitCode.Usage;
  else fail(ExitCode.Failure, err instanceof Error ? err.message : String(err));
}

async function run({ config, check }: Options): Promise<void> {
  const settings = readSettings(config);
  if (!settings) return;
  if (check) {
    process.stdout.write(`${config}: settings are valid\n`);
    return;
  }
  const log = createLogger({ ...settings.log, name: 'control' });
  await createControlDaemon(settings, log).kernel.run();
}

function readSettings(file: string): ControlSettings | undefined {
  const result = loadSettings(file, controlSettingsSchema);
  if (result.kind === 'valid') return result.value;
  if (result.kind === 'unreadable') fail(ExitCode.Usage, result.message);
  else {
    result.faults.forEach(({ line, column, path, message }) =>
      fail(ExitCode.Usage, `${file}:${line}:${column}: ${path}: ${message}`),
    );
  }
  return undefined;
}

function fail(code: number, message: string): void {
  process.stderr.write(`marjoramcart-control: ${message}\n`);
  process.exitCode = code;
  // A daemon that could not start holds timers that would keep the process.
  // eslint-disable-next-line n/no-process-exit
  if (code === ExitCode.Failure) process.exit(code);
}
