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
Exit codes: 0 ok, 1 faults found, 2 wrong usage or nothing reached.`;

/**
 * Runs a command line.
 *
 * @example await runCtl(['check', 'examples/telgitoo'], '0.1.0', io) // 0
 */
export async function runCtl(
  args: readonly string[],
  version: string,
  io: CtlIo,
): Promise<ExitCode> {
  const outcome: { code: ExitCode } = { code: ExitCode.Ok };
  const program = makeProgram(version, io, (code) => {
    outcome.code = code;
  });
  try {
    await program.parseAsync([...args], { from: 'user' });
    return outcome.code;
  } catch (err) {
    // Help and version end the parser with an exit code of 0; its errors are printed already.
    if (err instanceof CommanderError) return err.exitCode === 0 ? ExitCode.Ok : ExitCode.Failed;
    if (!(err instanceof CtlError)) throw err;
    io.err(`error: ${err.message}`);
    return ExitCode.Failed;
  }
}

function makeProgram(version: string, io: CtlIo, done: (code: ExitCode) => void): Command {
  const program = new Command('marjoramctl')
    .description("Operators' client of marjoramcart")
    .version(version)
    .addHelpText('after', EXIT_CODES)
    .configureOutput({
      writeOut: (text) => io.out(text.trimEnd()),
      writeErr: (text) => io.err(text.trimEnd()),
      outputError: (text, write) => write(oneLine(text)),
    })
    .exitOverride();
  const files = 'files, or folders with main.yaml and customers*.yaml';
  // Subcommands inherit output and exit settings, so these are set first.
  program
    .command('check')
    .description('check a text; prints file:line:column: message (hint)')
    .argument('<files...>', files)
    .action(async (paths: string[]) => done(await checkCommand(io, paths)));
  program
    .command('diff')
    .description('what a new text changes and what that does')
    .argument('<old>', 'file or folder')
    .argument('<new>', 'file or folder')
    .option('--json', 'print JSON')
    .action(async (old: string, now: string, options: { json?: boolean }) =>
      done(await diffCommand(io, old, now, options)),
    );
  program
    .command('status')
    .description('state of the fleet')
    .argument('<addresses...>', 'ip:port of the admin listeners of control daemons')
    .option('--json', 'print JSON')
    .action(async (addresses: string[], options: { json?: boolean }) =>
      done(await statusCommand(io, addresses, options)),
    );
  program
    .command('trace')
    .description('the way of one request through recorded logs')
    .argument('<id>', 'id of the request')
    .argument('<files...>', 'logs of the daemons, in any order')
    .option('--around <s>', 'time around the request in which changes are shown', count, 2)
    .option('--json', 'print JSON')
    .action(async (id: string, logs: string[], options: TraceOptions) =>
      done(await traceCommand(io, id, logs, options)),
    );
  addExplain(program).action(async (options: ExplainOptions) =>
    done(await explainCommand(io, options)),
  );
  return program;
}

function addExplain(program: Command): Command {
  return program
    .command('explain')
    .description('where a request may go, where it goes, and why')
    .requiredOption('--text <files...>', 'files or folder of the text')
    .requiredOption('--customer <id>', 'customer that calls')
    .requiredOption('--service <id>', 'service that is called')
    .requiredOption('--region <id>', 'region of the entry')
    .option('--status-file <file>', 'JSON of a control daemon at /status')
    .option('--address <ip:port>', 'admin listener of a control daemon')
    .option('--prompt-tokens <n>', 'tokens of the prompt', count, 1000)
    .option('--cached-tokens <n>', 'tokens of the prompt cached in the region', count, 0)
    .option('--policy <name>', 'routing policy', ESTIMATE_POLICY)
    .option('--json', 'print JSON');
}

function count(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('Use a whole number.');
  return value;
}
