/** `marjoramctl trace`: shows the route of one request from recorded logs, ordered by time. */
import { readFile } from 'node:fs/promises';
import { CtlError, ExitCode, oneLine, type CtlIo } from '../ctl-io.js';
import { readLogLine, type LogLine } from './log-lines.js';

export interface TraceOptions {
  /** State changes are shown from this long before the request until this long after it, s. */
  readonly around: number;
  readonly json?: boolean;
}

const MS_PER_S = 1000;

/**
 * Prints all log lines of a request, and state changes of its targets and gateways meanwhile.
 *
 * @param files logs of any processes, in any order
 * @throws CtlError when a file can't be read.
 * @example await traceCommand(io, '9c41d07be2a35f68', ['vm-1.log', 'vm-2.log'], { around: 2 })
 */
export async function traceCommand(
  io: CtlIo,
  id: string,
  files: readonly string[],
  options: TraceOptions,
): Promise<ExitCode> {
  const texts = await Promise.all(files.map(readLogFile));
  const lines = texts
    .flatMap((text) => text.split('\n'))
    .map(readLogLine)
    .filter((line) => line !== undefined);
  const trace = traceOf(id, lines, options.around * MS_PER_S);
  if (trace.length === 0) {
    io.err(`no log line of request ${id} in ${files.length} files`);
    return ExitCode.ProblemsFound;
  }
  trace.forEach((line) =>
    io.out(
      options.json === true ? JSON.stringify(line) : formatLine(line, trace[0]?.at ?? line.at),
    ),
  );
  return ExitCode.Ok;
}

/**
 * Returns the log lines of a request and the state changes, logged by the same processes within
 * `aroundMs` of them, of the targets and gateways that it was sent to, ordered by time.
 */
export function traceOf(id: string, lines: readonly LogLine[], aroundMs: number): LogLine[] {
  const requestLines = lines.filter(({ fields }) => fields.id === id).sort((a, b) => a.at - b.at);
  const first = requestLines[0];
  const last = requestLines.at(-1);
  if (!first || !last) return [];
  const destinations = new Set<unknown>(requestLines.map(({ fields }) => fields.to ?? id));
  const processes = new Set(requestLines.map((line) => line.process));
  const stateChanges = lines.filter(
    ({ at, fields, process }) =>
      fields.id === undefined &&
      processes.has(process) &&
      at >= first.at - aroundMs &&
      at <= last.at + aroundMs &&
      (destinations.has(fields.target) ||
        destinations.has(fields.node) ||
        affectsAllTargets(fields)),
  );
  return [...requestLines, ...stateChanges].sort((a, b) => a.at - b.at);
}

/** Whether a line is about the configuration, a failure domain or the platform. */
function affectsAllTargets(fields: LogLine['fields']): boolean {
  return 'version' in fields || 'domain' in fields || 'reason' in fields;
}

function formatLine({ at, process, message, fields }: LogLine, from: number): string {
  const values = Object.entries(fields)
    .filter(([key]) => key !== 'id')
    .map(([key, value]) => ` ${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const offset = `+${String(at - from)}`.padStart(7);
  return `${offset} ms  ${process}  ${message}${values.join('')}`;
}

async function readLogFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    throw new CtlError(`${file}: ${oneLine(err)}`);
  }
}
