/** What the commands need from the process, so that tests can run them without one. */
import type { StatusResult } from '@marjoramcart/core';

export interface CtlIo {
  /** Writes a line to the standard output. */
  out(line: string): void;
  /** Writes a line to the standard error. */
  err(line: string): void;
  /** Asks a control daemon for `/status`; rejects when it can't be reached. */
  fetchStatus(address: string): Promise<StatusResult>;
}

export const ExitCode = {
  Ok: 0,
  /** The text has faults, or the fleet is not in the desired state. */
  ProblemsFound: 1,
  /** Wrong usage, an unreadable file, or no daemon reached. */
  Failed: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** An error that is shown as one line and ends the command with `ExitCode.Unusable`. */
export class CtlError extends Error {}

/**
 * Text of an error on one line.
 *
 * @example oneLine(new Error('a\nb')) // 'a b'
 */
export function oneLine(err: unknown): string {
  const text = err instanceof Error ? err.message : String(err);
  return text.trim().replace(/\s*\n\s*/g, ' ');
}
