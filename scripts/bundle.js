/**
 * Compiles the gateway and bundles it into a few files under target/, which start faster than many
 * separate modules.
 */
import { spawnSync } from 'node:child_process';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

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
  outdir: 'target',
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
