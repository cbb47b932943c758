/** Command line of a daemon. Exit codes: 0 success, 1 failure, 2 usage or settings error. */
import { Command, CommanderError } from 'commander';
import type { z } from 'zod';
import { loadSettings } from '../settings/load-settings.js';

const VERSION = '0.1.0';
const ExitCode = { Failure: 1, Usage: 2 } as const;

export interface DaemonCli<Schema extends z.ZodType> {
  readonly name: string;
  readonly description: string;
  readonly schema: Schema;
  /** Starts the daemon, which keeps running after the promise has resolved. */
  readonly run: (settings: z.output<Schema>) => Promise<void>;
}

interface Options {
  readonly config: string;
  readonly check?: boolean;
}

/**
 * Parses the command line and loads the settings, then starts the daemon, or only validates the
 * settings with `--check`. Prints all validation errors of the settings, one per line.
 *
 * @example await runDaemonCli({ name: 'marjoramcart-entry', description, schema, run })
 */
export async function runDaemonCli<Schema extends z.ZodType>(
  cli: DaemonCli<Schema>,
  argv: readonly string[] = process.argv,
): Promise<void> {
  const program = new Command(cli.name)
    .description(cli.description)
    .version(VERSION)
    .requiredOption('--config <file>', 'settings file (YAML)')
    .option('--check', 'check the settings and exit')
    .configureOutput({ outputError: (text, write) => write(`${cli.name}: ${text}`) })
    .exitOverride();
  try {
    program.parse([...argv]);
    await validateOrRun(cli, program.opts<Options>());
  } catch (err) {
    if (err instanceof CommanderError) {
      process.exitCode = err.exitCode && ExitCode.Usage;
      return;
    }
    printError(cli.name, err instanceof Error ? err.message : String(err));
    // Listeners and timers created before the failure would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(ExitCode.Failure);
  }
}

async function validateOrRun<Schema extends z.ZodType>(
  { name, schema, run }: DaemonCli<Schema>,
  { config, check }: Options,
): Promise<void> {
  const result = loadSettings(config, schema);
  if (result.kind === 'valid') {
    if (check === true) process.stdout.write(`${config}: settings are valid\n`);
    else await run(result.value);
    return;
  }
  process.exitCode = ExitCode.Usage;
  if (result.kind === 'unreadable') printError(name, result.message);
  else {
    result.errors.forEach(({ line, column, path, message }) => {
      const subject = path === '' ? '' : `${path}: `;
      printError(name, `${config}:${line}:${column}: ${subject}${message}`);
    });
  }
}

function printError(name: string, message: string): void {
  process.stderr.write(`${name}: ${message}\n`);
}
