/** Structured logs as JSON lines or as plain text for a terminal. */
import { Logger as TsLogger } from 'tslog';

export const LogLevel = { Debug: 'debug', Info: 'info', Warn: 'warn', Error: 'error' } as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

export const LogFormat = { Json: 'json', Pretty: 'pretty' } as const;
export type LogFormat = (typeof LogFormat)[keyof typeof LogFormat];

/** Fields of a log line. They must not contain request bodies, API keys or customers' data. */
export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Returns a logger whose messages start with `[prefix] `. */
  child(prefix: string): Logger;
}

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Name of the process, which is part of each line. */
  readonly name: string;
  /** Receives each line without its line break; the default writes to standard error. */
  readonly sink?: (line: string) => void;
}

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/**
 * Creates the logger of a process.
 *
 * @example createLogger({ level: 'info', format: 'json', name: 'entry' }).child('dispatch')
 */
export function createLogger(options: LoggerOptions): Logger {
  const sink = options.sink ?? ((line: string) => process.stderr.write(`${line}\n`));
  const backend = new TsLogger<LogFields>({
    name: options.name,
    type: 'hidden',
    minLevel: TSLOG_LEVELS[options.level],
    // Finding the source position takes a stack trace per line.
    hideLogPositionForProduction: true,
    // Masking clones every record, and no sensitive data is logged.
    maskValuesOfKeys: [],
  });
  backend.attachTransport((record) => {
    // eslint-disable-next-line no-underscore-dangle
    const meta = record._meta as unknown as { date: Date; logLevelName: string };
    const { 0: message, 1: fields } = record as unknown as { 0: string; 1?: LogFields };
    const level = meta.logLevelName.toLowerCase();
    const line =
      options.format === LogFormat.Json
        ? JSON.stringify({
            ...fields,
            time: meta.date.toISOString(),
            level,
            name: options.name,
            message,
          })
        : `${meta.date.toISOString()} ${level.padEnd(5)} ${options.name} ${message}${formatFields(fields)}`;
    sink(line);
  });
  return new PrefixedLogger(backend, '');
}

/** Returns a logger that discards all messages, for tests. */
export function silentLogger(): Logger {
  const noop = (): void => {};
  const logger: Logger = {
    debug: noop,
    info: noop,
    warn: noop,
    error: noop,
    child: () => logger,
  };
  return logger;
}

/**
 * Returns a logger that adds fields to each line, which are read when the line is logged; a field of the line
 * itself goes first.
 *
 * @param fields undefined if there is nothing to add now
 * @example withFields(log, () => (loop.delayMs > 0 ? { loop_delay_ms: loop.delayMs } : undefined))
 */
export function withFields(logger: Logger, fields: () => LogFields | undefined): Logger {
  const add = (own: LogFields | undefined): LogFields | undefined => {
    const added = fields();
    return added ? { ...added, ...own } : own;
  };
  return {
    debug: (message, own) => logger.debug(message, add(own)),
    info: (message, own) => logger.info(message, add(own)),
    warn: (message, own) => logger.warn(message, add(own)),
    error: (message, own) => logger.error(message, add(own)),
    child: (prefix) => withFields(logger.child(prefix), fields),
  };
}

class PrefixedLogger implements Logger {
  constructor(
    private readonly backend: TsLogger<LogFields>,
    private readonly prefix: string,
  ) {}

  debug(message: string, fields?: LogFields): void {
    this.backend.debug(...this.args(message, fields));
  }

  info(message: string, fields?: LogFields): void {
    this.backend.info(...this.args(message, fields));
  }

  warn(message: string, fields?: LogFields): void {
    this.backend.warn(...this.args(message, fields));
  }

  error(message: string, fields?: LogFields): void {
    this.backend.error(...this.args(message, fields));
  }

  child(prefix: string): Logger {
    return new PrefixedLogger(this.backend, `[${prefix}] `);
  }

  private args(message: string, fields: LogFields | undefined): [string, LogFields] {
    return [`${this.prefix}${message}`, withErrorMessage(fields)];
  }
}

function withErrorMessage(fields: LogFields | undefined): LogFields {
  const { err } = fields ?? {};
  return err instanceof Error ? { ...fields, err: err.message } : (fields ?? {});
}

function formatFields(fields: LogFields | undefined): string {
  return Object.entries(fields ?? {})
    .map(([key, value]) => ` ${key}=${JSON.stringify(value)}`)
    .join('');
}
