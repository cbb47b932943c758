/** Reads KNOWN-RED.txt: tests that fail for a known fault and do not fail CI. */
import { existsSync, readFileSync } from 'node:fs';

const file = new URL('../KNOWN-RED.txt', import.meta.url);

/** Names after `test:` in KNOWN-RED.txt; a scenario is named `feature: scenario`. */
export function knownRedTests() {
  if (!existsSync(file)) return new Set();
  return new Set(
    readFileSync(file, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test:'))
      .map((line) => line.slice('test:'.length).trim()),
  );
}
