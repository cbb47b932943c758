/** Installs missing packages and compiles; runs before the tests, the demo and the benchmarks. */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const root = new URL('..', import.meta.url);

function run(command, args) {
  const { status } = spawnSync(command, args, { cwd: root, stdio: 'inherit' });
  if (status !== 0) {
    throw new Error(`${command} ${args.join(' ')} exited with ${status}`);
  }
}

/** Installs the packages of the lock file if none are installed, then compiles. */
export function prepare() {
  if (!existsSync(new URL('node_modules/.package-lock.json', root))) {
    run('npm', ['ci', '--no-audit', '--no-fund', '--prefer-offline']);
  }
  run('npx', ['--no-install', 'tsc', '-b']);
}
