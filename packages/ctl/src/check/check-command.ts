/** `marjoramctl check`: validates a configuration with the rules of the control daemons. */
import { checkConfig } from '@marjoramcart/core';
import { ExitCode, type CtlIo } from '../ctl-io.js';
import { formatConfigError, readConfigParts } from '../config-files.js';

/**
 * Validates the configuration files at the given paths and prints the errors found.
 *
 * @throws CtlError when a file can't be read.
 * @example await checkCommand(io, ['examples/telgitoo']) // 0
 */
export async function checkCommand(io: CtlIo, paths: readonly string[]): Promise<ExitCode> {
  const result = checkConfig(await readConfigParts(paths));
  if (result.kind === 'rejected') {
    result.errors.forEach((error) => io.out(formatConfigError(error)));
    return ExitCode.ProblemsFound;
  }
  const { main, customers } = result;
  const services = Object.keys(main.services).length;
  const regions = Object.keys(main.regions).length;
  io.out(`ok: ${services} services, ${regions} regions, ${customers.length} customers`);
  return ExitCode.Ok;
}
