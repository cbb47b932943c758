/**
 * Compiles the gateway and bundles it into a few files under target/, which start faster than many
 * separate modules. The argument `--outdir` names another folder.
 */
import { spawnSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, readdirSync, renameSync, rmSync, statSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));
const ENTRY = 'marjoramcart-gateway.mjs';
/** Files of earlier builds are kept for this time, as running processes may still load them. */
const KEPT_MS = 24 * 60 * 60_000;

const { values } = parseArgs({ options: { outdir: { type: 'string', default: 'target' } } });
const outdir = resolve(root, values.outdir);
mkdirSync(outdir, { recursive: true });
const staging = mkdtempSync(join(outdir, '.build-'));
process.on('exit', () => rmSync(staging, { recursive: true, force: true }));

const { status } = spawnSync('npx', ['--no-install', 'tsc', '-b', 'platform'], {
  cwd: root,
  stdio: 'inherit',
});
if (status !== 0) throw new Error(`tsc exited with ${status}`);

/**
 * Library modules that the gateway does not use and that slow down its start: prom-client's cluster
 * metrics and push gateway, which load `cluster` and `https`, and zod's messages in other languages.
 */
const UNUSED_MODULES = [
  {
    filter: /prom-client\/lib\/(cluster|pushgateway)\.js$/,
    contents: 'module.exports = undefined;',
  },
  {
    filter: /zod\/v4\/locales\/index\.js$/,
    contents: "export { default as en } from './en.js';",
  },
];

const omitUnusedModules = {
  name: 'omit-unused-modules',
  setup(bundler) {
    UNUSED_MODULES.forEach(({ filter, contents }) => {
      bundler.onLoad({ filter }, ({ path }) => ({ contents, resolveDir: dirname(path) }));
    });
  },
};

await build({
  absWorkingDir: root,
  entryPoints: { 'marjoramcart-gateway': 'platform/dist/start.js' },
  outdir: staging,
  outExtension: { '.js': '.mjs' },
  chunkNames: 'gateway-[hash]',
  bundle: true,
  // What `start.js` imports dynamically becomes a file of its own.
  splitting: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS packages in the bundle call `require`, which ES modules do not have.
  banner: {
    js: "import { createRequire } from 'node:module';const require = createRequire(import.meta.url);",
  },
  legalComments: 'none',
  plugins: [omitUnusedModules],
});

// Processes may start at any time: they must find whole files, and those that the entry file names.
const isEntry = (name) => name === ENTRY;
const built = readdirSync(staging);
[...built.filter((name) => !isEntry(name)), ...built.filter(isEntry)].forEach((name) =>
  renameSync(join(staging, name), join(outdir, name)),
);
const replacedBefore = Date.now() - KEPT_MS;
readdirSync(outdir)
  .filter((name) => /^gateway-.*\.mjs$/.test(name) && !built.includes(name))
  .filter((name) => statSync(join(outdir, name)).mtimeMs < replacedBefore)
  .forEach((name) => rmSync(join(outdir, name), { force: true }));
