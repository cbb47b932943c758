/** `marjoramctl status`: shows the state of the fleet as reported by its control daemons. */
import { ExitCode, oneLine, type CtlIo } from '../ctl-io.js';
import { formatDuration, formatTable } from '../table.js';
import {
  mergeFleetStatus,
  isHealthy,
  type FleetStatus,
  type StatusResponse,
} from './fleet-status.js';

/**
 * Fetches the status from the admin listeners of control daemons and prints the merged state.
 *
 * @example await statusCommand(io, ['127.0.0.1:7003'], { json: true }) // 0
 */
export async function statusCommand(
  io: CtlIo,
  addresses: readonly string[],
  options: { readonly json?: boolean },
): Promise<ExitCode> {
  const responses = await Promise.all(addresses.map((address) => requestStatus(io, address)));
  if (responses.every(({ kind }) => kind === 'unreachable')) {
    responses.forEach((response) => {
      if (response.kind === 'unreachable') io.err(`${response.address}: ${response.message}`);
    });
    return ExitCode.Failed;
  }
  const fleet = mergeFleetStatus(responses);
  const lines = options.json ? [JSON.stringify(fleet, null, 2)] : linesOf(fleet);
  lines.forEach(io.out);
  return isHealthy(fleet) ? ExitCode.Ok : ExitCode.ProblemsFound;
}

async function requestStatus(io: CtlIo, address: string): Promise<StatusResponse> {
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
      : ['', 'the queried failure domains are in the desired state']),
    ...problems.map((problem) => `problem: ${problem}`),
  ];
}
