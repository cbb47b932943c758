/** Reads the parts of a text from files. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { basename, join } from 'node:path';
import {
  checkConfig,
  type AcceptedConfig,
  type ConfigError,
  type ConfigPart,
} from '@marjoramcart/core';
import { CtlError, oneLine, type CtlIo } from './ctl-io.js';

const PART_NAME = /^(main|customers.*)\.ya?ml$/;

/**
 * Reads the parts at the given paths. A folder stands for its files `main.yaml` and
 * `customers*.yaml`.
 *
 * @throws CtlError when a file can't be read or a folder holds no part.
 * @example await readParts(['examples/telgitoo'])
 */
export async function readConfigParts(paths: readonly string[]): Promise<ConfigPart[]> {
  const files = await Promise.all(paths.map(filesAt));
  return Promise.all(files.flat().map(async (file) => ({ file, text: await readText(file) })));
}

/**
 * Reads a text and prints its faults when it is rejected.
 *
 * @throws CtlError when a file can't be read.
 * @example await readAccepted(io, ['main.yaml'])
 */
export async function readAcceptedConfig(
  io: CtlIo,
  paths: readonly string[],
): Promise<AcceptedConfig | undefined> {
  const result = checkConfig(await readConfigParts(paths));
  if (result.kind === 'accepted') return result;
  result.errors.forEach((fault) => io.err(formatConfigError(fault)));
  return undefined;
}

/**
 * A fault as `file:line:column: message (hint)`.
 *
 * @example faultLine({ file: 'a', line: 1, column: 2, message: 'm', hint: 'h' }) // 'a:1:2: m (h)'
 */
export function formatConfigError({ file, line, column, message, hint }: ConfigError): string {
  return `${file}:${line}:${column}: ${message} (${hint})`;
}

async function filesAt(path: string): Promise<string[]> {
  const stats = await stat(path).catch((err: unknown) => {
    throw new CtlError(oneLine(err));
  });
  if (!stats.isDirectory()) return [path];
  const names = (await readdir(path)).filter((name) => PART_NAME.test(basename(name))).sort();
  if (names.length === 0) throw new CtlError(`${path} holds no main.yaml or customers*.yaml`);
  return names.map((name) => join(path, name));
}

async function readText(file: string): Promise<string> {
  return readFile(file, 'utf8').catch((err: unknown) => {
    throw new CtlError(oneLine(err));
  });
}
