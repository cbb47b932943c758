/** `marjoramctl check`: checks a text as the control daemons do. */
import { checkConfig } from '@marjoramcart/core';
import { ExitCode, type CtlIo } from '../ctl-io.js';
import { formatConfigError, readConfigParts } from '../text-files.js';

/**
 * Checks the parts at the given paths and prints the faults.
 *
 * @throws CtlError when a file can't be read.
 * @example await checkCommand(io, ['examples/telgitoo']) // 0
 */
export async function checkCommand(io: CtlIo, paths: readonly string[]): Promise<ExitCode> {
  const result = checkConfig(await readConfigParts(paths));
  if (result.kind === 'rejected') {
    result.errors.forEach((fault) => io.out(formatConfigError(fault)));
    return ExitCode.ProblemsFound;
  }
  const { main, customers } = result;
  const services = Object.keys(main.services).length;
  const regions = Object.keys(main.regions).length;
  io.out(`ok: ${services} services, ${regions} regions, ${customers.length} customers`);
  return ExitCode.Ok;
}
