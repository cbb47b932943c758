#!/usr/bin/env node
/** Entry point of marjoramctl. */
import { readFile } from 'node:fs/promises';
import { fetchStatus } from './fetch-status.js';
import { oneLine } from './ctl-io.js';
import { runCtl } from './program.js';

const io = {
  out: (line: string) => {
    process.stdout.write(`${line}
`);
  },
  err: (line: string) => {
    process.stderr.write(`${line}
`);
  },
  fetchStatus,
};

// A reader such as `head` may close the pipe before everything is written.
process.stdout.on('error', (err: NodeJS.ErrnoException) => {
  if (err.code !== 'EPIPE') throw err;
});

try {
  const manifest = await readFile(new URL('../package.json', import.meta.url), 'utf8');
  const { version } = JSON.parse(manifest) as { version: string };
  process.exitCode = await runCtl(process.argv.slice(2), version, io);
} catch (err) {
  io.err(`error: ${oneLine(err)}`);
  process.exitCode = 2;
}
