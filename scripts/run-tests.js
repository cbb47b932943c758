/**
 * `npm test`: installs missing packages, compiles, and runs the unit tests and cucumber scenarios.
 * `npm test -- --unit` or `-- --features` runs one of the two. The last line counts all tests.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, readdirSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { knownRedTests } from './known-red.js';
import { prepare } from './prepare.js';

const root = fileURLToPath(new URL('..', import.meta.url));
const args = process.argv.slice(2);
const UNIT_TEST_CONCURRENCY = 4;
/** Files that load whole processes; they run after the others, one at a time. */
const SERIAL_SUFFIX = '.serial.test.js';
/** A test file that runs longer is stopped and fails; the slowest one takes about 15 s. */
const UNIT_TEST_FILE_LIMIT_MS = 180_000;
const FEATURES_LIMIT_MS = 25 * 60_000;

/** Returns the compiled unit tests, except those whose source was removed. */
function unitTestFiles() {
  return ['packages', 'tests']
    .flatMap((folder) => readdirSync(`${root}${folder}`).map((name) => `${root}${folder}/${name}`))
    .concat(`${root}platform`)
    .filter((dir) => existsSync(`${dir}/dist`))
    .flatMap((dir) =>
      readdirSync(`${dir}/dist`, { recursive: true })
        .filter((name) => name.endsWith('.test.js'))
        .filter((name) => existsSync(`${dir}/src/${name.replace(/\.js$/, '.ts')}`))
        .map((name) => `${dir}/dist/${name}`),
    )
    .sort();
}

async function runUnitTests() {
  const results = { passed: [], failed: [] };
  const files = unitTestFiles();
  const isSerial = (name) => name.endsWith(SERIAL_SUFFIX);
  await runTestFiles(
    files.filter((name) => !isSerial(name)),
    UNIT_TEST_CONCURRENCY,
    results,
  );
  await runTestFiles(files.filter(isSerial), 1, results);
  return results;
}

async function runTestFiles(files, concurrency, results) {
  if (files.length === 0) return;
  const stream = run({
    files,
    concurrency,
    timeout: UNIT_TEST_FILE_LIMIT_MS,
  });
  const isTest = ({ details, name }) => details.type !== 'suite' && !name.endsWith('.test.js');
  stream.on('test:pass', (data) => isTest(data) && results.passed.push(data.name));
  stream.on('test:fail', (data) => {
    const cause = data.details.error?.failureType;
    if (cause === 'subtestsFailed') return;
    // A file that times out is reported by its path, which must not depend on the checkout.
    results.failed.push(data.name.replace(root, ''));
  });
  const reporter = stream.compose(spec);
  reporter.pipe(process.stdout);
  await new Promise((resolve) => {
    reporter.on('end', resolve);
  });
}

function runFeatures() {
  const results = { passed: [], failed: [] };
  if (!existsSync(`${root}tests/features/cucumber.js`)) return results;
  mkdirSync(`${root}out`, { recursive: true });
  spawnSync(
    'npx',
    [
      '--no-install',
      'cucumber-js',
      '--config',
      'tests/features/cucumber.js',
      '--format',
      'json:out/cucumber.json',
    ],
    { cwd: root, stdio: 'inherit', timeout: FEATURES_LIMIT_MS },
  );
  const features = JSON.parse(readFileSync(`${root}out/cucumber.json`, 'utf8'));
  features.forEach((feature) =>
    feature.elements.forEach((scenario) => {
      const name = `${feature.name}: ${scenario.name}`;
      const passed = scenario.steps.every(({ result }) => result.status === 'passed');
      results[passed ? 'passed' : 'failed'].push(name);
    }),
  );
  return results;
}

prepare();
const none = { passed: [], failed: [] };
const unit = args.includes('--features') ? none : await runUnitTests();
const features = args.includes('--unit') ? none : runFeatures();

const knownRed = knownRedTests();
const passed = [...unit.passed, ...features.passed];
const failed = [...unit.failed, ...features.failed];
const red = failed.filter((name) => knownRed.has(name));
const unexpected = failed.filter((name) => !knownRed.has(name));
red.forEach((name) => console.log(`known red: ${name}`));
passed
  .filter((name) => knownRed.has(name))
  .forEach((name) => console.log(`listed in KNOWN-RED.txt but passes: ${name}`));
unexpected.forEach((name) => console.log(`FAILED: ${name}`));
console.log(`${passed.length} passed, ${unexpected.length} failed, ${red.length} skipped`);
process.exitCode = unexpected.length > 0 || passed.length === 0 ? 1 : 0;
