/** Commands and options of marjoramctl. */
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { checkCommand } from './check/check-command.js';
import { CtlError, ExitCode, oneLine, type CtlIo } from './ctl-io.js';
import { diffCommand } from './diff/diff-command.js';
import { ESTIMATE_POLICY } from './explain/estimate-policy.js';
import { explainCommand, type ExplainOptions } from './explain/explain-command.js';
import { statusCommand } from './status/status-command.js';
import { traceCommand, type TraceOptions } from './trace/trace-command.js';

const EXIT_CODES = `
Exit codes: 0 ok, 1 problems found, 2 invalid usage, unreadable file or unreachable daemons.`;

/**
 * Runs a command line and returns its exit code.
 *
 * @example await runCtl(['check', 'examples/telgitoo'], '0.1.0', io) // 0
 */
export async function runCtl(
  args: readonly string[],
  version: string,
  io: CtlIo,
): Promise<ExitCode> {
  const outcome: { code: ExitCode } = { code: ExitCode.Ok };
  const program = createProgram(version, io, (code) => {
    outcome.code = code;
  });
  try {
    await program.parseAsync([...args], { from: 'user' });
    return outcome.code;
  } catch (err) {
    // Help and version end the parser with exit code 0; usage errors have been printed already.
    if (err instanceof CommanderError) return err.exitCode === 0 ? ExitCode.Ok : ExitCode.Failed;
    if (!(err instanceof CtlError)) throw err;
    io.err(`error: ${err.message}`);
    return ExitCode.Failed;
  }
}

function createProgram(version: string, io: CtlIo, done: (code: ExitCode) => void): Command {
  const program = new Command('marjoramctl')
    .description('Command-line client for operators of marjoramcart')
    .version(version)
    .addHelpText('after', EXIT_CODES)
    .configureOutput({
      writeOut: (text) => io.out(text.trimEnd()),
      writeErr: (text) => io.err(text.trimEnd()),
      outputError: (text, write) => write(oneLine(text)),
    })
    .exitOverride();
  const files = 'files, or folders with main.yaml and customers*.yaml';
  // Subcommands copy output and exit settings when they are added, so these are set first.
  program
    .command('check')
    .description('validate a configuration; prints errors as file:line:column: message (hint)')
    .argument('<files...>', files)
    .action(async (paths: string[]) => done(await checkCommand(io, paths)));
  program
    .command('diff')
    .description('show the changes between two configurations and their effects')
    .argument('<old>', 'file or folder')
    .argument('<new>', 'file or folder')
    .option('--json', 'print JSON')
    .action(async (oldPath: string, newPath: string, options: { json?: boolean }) =>
      done(await diffCommand(io, oldPath, newPath, options)),
    );
  program
    .command('status')
    .description('show the state of the fleet')
    .argument('<addresses...>', 'ip:port of the admin listeners of control daemons')
    .option('--json', 'print JSON')
    .action(async (addresses: string[], options: { json?: boolean }) =>
      done(await statusCommand(io, addresses, options)),
    );
  program
    .command('trace')
    .description('show the route of one request from recorded logs')
    .argument('<id>', 'id of the request')
    .argument('<files...>', 'logs of the daemons, in any order')
    .option(
      '--around <s>',
      'seconds before and after the request in which state changes are shown',
      parseCount,
      2,
    )
    .option('--json', 'print JSON')
    .action(async (id: string, logs: string[], options: TraceOptions) =>
      done(await traceCommand(io, id, logs, options)),
    );
  addExplainCommand(program).action(async (options: ExplainOptions) =>
    done(await explainCommand(io, options)),
  );
  return program;
}

function addExplainCommand(program: Command): Command {
  return program
    .command('explain')
    .description('show where a request may be sent, which failure domain is chosen, and why')
    .requiredOption('--text <files...>', 'files or folder of the configuration')
    .requiredOption('--customer <id>', 'customer that sends the request')
    .requiredOption('--service <id>', 'service that is called')
    .requiredOption('--region <id>', 'region of the entry')
    .option('--status-file <file>', 'file with the JSON of /status of a control daemon')
    .option('--address <ip:port>', 'admin listener of a control daemon')
    .option('--prompt-tokens <n>', 'tokens of the prompt', parseCount, 1000)
    .option('--cached-tokens <n>', 'tokens of the prompt cached in the region', parseCount, 0)
    .option('--policy <name>', 'routing policy', ESTIMATE_POLICY)
    .option('--json', 'print JSON');
}

function parseCount(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0)
    throw new InvalidArgumentError('Expected a non-negative integer.');
  return value;
}
