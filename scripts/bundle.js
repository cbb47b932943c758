/** Compiles the gateway and bundles it into one file under target/, which starts faster than modules. */
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
 * Parts of libraries that the gateway does not use and that make its start longer: metrics of a
 * cluster and their push, which load `cluster` and `https`, and messages in other languages.
 */
const UNUSED = [
  {
    filter: /prom-client\/lib\/(cluster|pushgateway)\.js$/,
    contents: 'module.exports = undefined;',
  },
  {
    filter: /zod\/v4\/locales\/index\.js$/,
    contents: "export { default as en } from './en.js';",
  },
];

const withoutUnused = {
  name: 'without-unused',
  setup(bundler) {
    UNUSED.forEach(({ filter, contents }) => {
      bundler.onLoad({ filter }, ({ path }) => ({ contents, resolveDir: dirname(path) }));
    });
  },
};

await build({
  absWorkingDir: root,
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/marjoramcart-gateway.mjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS packages in the bundle ask for `require`, which an ES module lacks.
  banner: {
    js: "import { createRequire } from 'node:module';const require = createRequire(import.meta.url);",
  },
  legalComments: 'none',
  plugins: [withoutUnused],
});
