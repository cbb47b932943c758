/** `marjoramctl diff`: what a new text changes and what that does. */
import { diffConfigs } from '@marjoramcart/core';
import { ExitCode, type CtlIo } from '../ctl-io.js';
import { readAcceptedConfig } from '../text-files.js';

const MAX_LINES_PER_KIND = 50;

/**
 * Compares two texts, each given as a file or folder.
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
  shorten(diff.changes.map(({ subject, change }) => `  ${subject}: ${change}`)).forEach(io.out);
  io.out('Effects:');
  const effects =
    diff.effects.length > 0 ? diff.effects : ['nothing is loaded, retired or cut off'];
  effects.forEach((effect) => io.out(`  ${effect}`));
  return ExitCode.Ok;
}

/** Customers come last; a change of all of them would hide the effects. */
function shorten(lines: readonly string[]): string[] {
  const isCustomer = (line: string): boolean => line.startsWith('  customer ');
  const customers = lines.filter(isCustomer);
  const rest = customers.length - MAX_LINES_PER_KIND;
  return [
    ...lines.filter((line) => !isCustomer(line)),
    ...customers.slice(0, MAX_LINES_PER_KIND),
    ...(rest > 0 ? [`  ${rest} more changes of customers (--json shows all)`] : []),
  ];
}
