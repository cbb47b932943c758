/** `marjoramctl trace`: the way of one request through recorded logs, in one time line. */
import { readFile } from 'node:fs/promises';
import { CtlError, ExitCode, oneLine, type CtlIo } from '../ctl-io.js';
import { readLogLine, type LogLine } from './log-lines.js';

export interface TraceOptions {
  /** Time before the first and after the last decision in which changes of belief are shown, s. */
  readonly around: number;
  readonly json?: boolean;
}

const MS_PER_S = 1000;

/**
 * Prints all decisions on a request, and what changed at its targets and gateways meanwhile.
 *
 * @param files logs of any processes, in any order
 * @example await traceCommand(io, '9c41d07be2a35f68', ['vm-1.log', 'vm-2.log'], { around: 2 })
 */
export async function traceCommand(
  io: CtlIo,
  id: string,
  files: readonly string[],
  options: TraceOptions,
): Promise<ExitCode> {
  const texts = await Promise.all(files.map(readLog));
  const lines = texts
    .flatMap((text) => text.split('\n'))
    .map(readLogLine)
    .filter((line) => line !== undefined);
  const trace = traceOf(id, lines, options.around * MS_PER_S);
  if (trace.length === 0) {
    io.err(`no line of ${files.length} files names request ${id}`);
    return ExitCode.ProblemsFound;
  }
  trace.forEach((line) =>
    io.out(options.json === true ? JSON.stringify(line) : readable(line, trace[0]?.at ?? line.at)),
  );
  return ExitCode.Ok;
}

/**
 * Lines on a request, and lines on the targets and gateways that it was sent to within some time
 * around them, by time.
 */
export function traceOf(id: string, lines: readonly LogLine[], aroundMs: number): LogLine[] {
  const own = lines.filter(({ fields }) => fields.id === id).sort((a, b) => a.at - b.at);
  const first = own[0];
  const last = own.at(-1);
  if (!first || !last) return [];
  const places = new Set<unknown>(own.map(({ fields }) => fields.to ?? id));
  const processes = new Set(own.map((line) => line.process));
  const beliefs = lines.filter(
    ({ at, fields, process }) =>
      fields.id === undefined &&
      processes.has(process) &&
      at >= first.at - aroundMs &&
      at <= last.at + aroundMs &&
      (places.has(fields.target) || places.has(fields.node) || changesEverything(fields)),
  );
  return [...own, ...beliefs].sort((a, b) => a.at - b.at);
}

/** Whether a line tells of the configuration, a failure domain or the platform. */
function changesEverything(fields: LogLine['fields']): boolean {
  return 'version' in fields || 'domain' in fields || 'reason' in fields;
}

function readable({ at, process, message, fields }: LogLine, from: number): string {
  const values = Object.entries(fields)
    .filter(([key]) => key !== 'id')
    .map(([key, value]) => ` ${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const offset = `+${String(at - from)}`.padStart(7);
  return `${offset} ms  ${process}  ${message}${values.join('')}`;
}

async function readLog(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    throw new CtlError(`${file}: ${oneLine(err)}`);
  }
}
