/** Output and network access of the commands, as an interface that tests replace. */
import type { StatusResult } from '@marjoramcart/core';

export interface CtlIo {
  /** Writes a line to the standard output. */
  out(line: string): void;
  /** Writes a line to the standard error. */
  err(line: string): void;
  /** Fetches `/status` from a control daemon; rejects when it can't be reached. */
  fetchStatus(address: string): Promise<StatusResult>;
}

export const ExitCode = {
  Ok: 0,
  /** The configuration is invalid, the fleet is not in the desired state, or no result was found. */
  ProblemsFound: 1,
  /** Invalid usage, an unreadable file, or no reachable daemon. */
  Failed: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** An error that is printed on one line and ends the command with `ExitCode.Failed`. */
export class CtlError extends Error {}

/**
 * Returns the message of an error on one line.
 *
 * @example oneLine(new Error('a\nb')) // 'a b'
 */
export function oneLine(err: unknown): string {
  const text = err instanceof Error ? err.message : String(err);
  return text.trim().replace(/\s*\n\s*/g, ' ');
}
