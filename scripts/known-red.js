/** Reads KNOWN-RED.txt: tests that fail because of a known bug and do not fail CI. */
import { existsSync, readFileSync } from 'node:fs';

const file = new URL('../KNOWN-RED.txt', import.meta.url);

/** Returns the names after `test:` in KNOWN-RED.txt; a scenario is named `feature: scenario`. */
export function knownRedTests() {
  if (!existsSync(file)) return new Set();
  return new Set(
    readFileSync(file, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test:'))
      .map((line) => line.slice('test:'.length).trim()),
  );
}
