/** `marjoramctl status`: state of the fleet as its control daemons report it. */
import { ExitCode, oneLine, type CtlIo } from '../ctl-io.js';
import { formatDuration, formatTable } from '../table.js';
import { mergeFleetStatus, isHealthy, type FleetStatus, type StatusResponse } from './fleet-status.js';

/**
 * Asks the admin listeners of control daemons and prints the fleet's state.
 *
 * @example await statusCommand(io, ['127.0.0.1:7003'], { json: true }) // 0
 */
export async function statusCommand(
  io: CtlIo,
  addresses: readonly string[],
  options: { readonly json?: boolean },
): Promise<ExitCode> {
  const answers = await Promise.all(addresses.map((address) => ask(io, address)));
  if (answers.every(({ kind }) => kind === 'unreachable')) {
    answers.forEach((answer) => {
      if (answer.kind === 'unreachable') io.err(`${answer.address}: ${answer.message}`);
    });
    return ExitCode.Failed;
  }
  const fleet = mergeFleetStatus(answers);
  const lines = options.json ? [JSON.stringify(fleet, null, 2)] : linesOf(fleet);
  lines.forEach(io.out);
  return isHealthy(fleet) ? ExitCode.Ok : ExitCode.ProblemsFound;
}

async function ask(io: CtlIo, address: string): Promise<StatusResponse> {
  try {
    return { kind: 'answered', address, status: await io.fetchStatus(address) };
  } catch (err) {
    return { kind: 'unreachable', address, message: oneLine(err) };
  }
}

function linesOf({ revision, daemons, gaps, problems }: FleetStatus): string[] {
  const daemonRows = daemons.map((row) => [
    row.failureDomain,
    row.vm,
    row.role,
    row.address,
    row.revision === undefined ? '-' : String(row.revision),
    row.state,
    row.note,
  ]);
  const header = ['DOMAIN', 'VM', 'ROLE', 'ADDRESS', 'REVISION', 'STATE', 'NOTE'];
  const gapRows = gaps.map(({ failureDomain, service, wanted, ready, sinceMs, reason }) => [
    failureDomain,
    service,
    `${ready}/${wanted}`,
    formatDuration(sinceMs),
    reason,
  ]);
  return [
    `revision ${revision}`,
    ...formatTable([header, ...daemonRows]),
    ...(gapRows.length > 0
      ? ['', ...formatTable([['DOMAIN', 'SERVICE', 'READY', 'SINCE', 'REASON'], ...gapRows])]
      : ['', 'the desired state is reached in the failure domains asked']),
    ...problems.map((problem) => `problem: ${problem}`),
  ];
}
