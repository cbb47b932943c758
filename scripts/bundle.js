/** Compiles the gateway and bundles it into one file under target/, which starts faster than modules. */
import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

const { status } = spawnSync('npx', ['--no-install', 'tsc', '-b', 'platform'], {
  cwd: root,
  stdio: 'inherit',
});
if (status !== 0) throw new Error(`tsc exited with ${status}`);

await build({
  absWorkingDir: root,
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/marjoramcart-gateway.mjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS packages in the bundle ask for `require`, which an ES module lacks.
  banner: {
    js: "import { createRequire } from 'node:module';const require = createRequire(import.meta.url);",
  },
  legalComments: 'none',
});
