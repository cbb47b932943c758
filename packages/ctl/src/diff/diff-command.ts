/** `marjoramctl diff`: changes between two configurations and their effects on the fleet. */
import { diffConfigs } from '@marjoramcart/core';
import { ExitCode, type CtlIo } from '../ctl-io.js';
import { readAcceptedConfig } from '../config-files.js';

const MAX_CUSTOMER_LINES = 50;

/**
 * Compares two configurations, each given as a file or folder.
 *
 * @throws CtlError when a file can't be read.
 * @example await diffCommand(io, 'old', 'new', {}) // 0
 */
export async function diffCommand(
  io: CtlIo,
  oldPath: string,
  newPath: string,
  options: { readonly json?: boolean },
): Promise<ExitCode> {
  const before = await readAcceptedConfig(io, [oldPath]);
  const after = await readAcceptedConfig(io, [newPath]);
  if (!before || !after) return ExitCode.ProblemsFound;
  const diff = diffConfigs(before, after);
  if (options.json) {
    io.out(JSON.stringify(diff, null, 2));
    return ExitCode.Ok;
  }
  if (diff.changes.length === 0) {
    io.out('no difference');
    return ExitCode.Ok;
  }
  io.out('Changes:');
  limitCustomerLines(diff.changes.map(({ subject, change }) => `  ${subject}: ${change}`)).forEach(
    io.out,
  );
  io.out('Effects:');
  const effects =
    diff.effects.length > 0 ? diff.effects : ['nothing is loaded, retired or cut off'];
  effects.forEach((effect) => io.out(`  ${effect}`));
  return ExitCode.Ok;
}

/** Moves customer lines to the end and limits them, so that many of them don't hide the effects. */
function limitCustomerLines(lines: readonly string[]): string[] {
  const isCustomer = (line: string): boolean => line.startsWith('  customer ');
  const customers = lines.filter(isCustomer);
  const omitted = customers.length - MAX_CUSTOMER_LINES;
  return [
    ...lines.filter((line) => !isCustomer(line)),
    ...customers.slice(0, MAX_CUSTOMER_LINES),
    ...(omitted > 0 ? [`  ${omitted} more customer changes (use --json to show all)`] : []),
  ];
}
