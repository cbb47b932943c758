// @ts-check
import { configs, plugins } from 'eslint-config-airbnb-extended';
import boundaries from 'eslint-plugin-boundaries';
import prettier from 'eslint-config-prettier';

// The layering of docs/design.md: which package may import which.
const elements = [
  { type: 'core', pattern: 'packages/core/**' },
  { type: 'runtime', pattern: 'packages/runtime/**' },
  { type: 'entry', pattern: 'packages/entry/**' },
  { type: 'control', pattern: 'packages/control/**' },
  { type: 'ctl', pattern: 'packages/ctl/**' },
  { type: 'gateway', pattern: 'packages/gateway/**' },
  { type: 'platform', pattern: 'platform/**' },
  { type: 'bench', pattern: 'packages/bench/**' },
  { type: 'stand-ins', pattern: 'tests/stand-ins/**' },
  { type: 'features', pattern: 'tests/features/**' },
];

const allowedImports = {
  core: [],
  runtime: ['core'],
  entry: ['core', 'runtime'],
  control: ['core', 'runtime'],
  ctl: ['core', 'runtime'],
  gateway: ['core', 'runtime'],
  platform: ['core', 'runtime', 'gateway'],
  bench: ['core', 'runtime', 'stand-ins'],
  'stand-ins': ['core', 'runtime', 'gateway', 'platform'],
  features: ['core', 'runtime', 'stand-ins'],
};

const restrictedImports = (layer) =>
  elements
    .map(({ type }) => type)
    .filter((type) => type !== layer && !allowedImports[layer].includes(type))
    .map((type) => `@marjoramcart/${type}`);

export default [
  { ignores: ['**/dist/**', '**/out/**', 'target/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    plugins: { boundaries },
    settings: {
      'boundaries/elements': elements,
      'import-x/resolver-next': undefined,
    },
    rules: {
      // ESM on Node.js needs the file ending, which TypeScript resolves.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // Named exports only, in every module.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'n/hashbang': 'off',
      // Function declarations are hoisted, which lets a module read from its public function down.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'no-use-before-define': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
    },
  },
  ...Object.keys(allowedImports).map((layer) => ({
    files: [elements.find(({ type }) => type === layer).pattern],
    rules: {
      'no-restricted-imports': ['error', { paths: restrictedImports(layer) }],
    },
  })),
  {
    files: ['packages/core/src/**'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'performance'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Core logic takes the time as an argument.' },
        { object: 'Math', property: 'random', message: 'Core logic takes a seeded random source.' },
      ],
    },
  },
  {
    files: ['eslint.config.js', '**/cucumber.js', 'prettier.config.js'],
    rules: { 'import-x/no-default-export': 'off' },
  },
  {
    // Build scripts run one step after the other and print to the terminal.
    files: ['scripts/**', 'eslint.config.js', '**/cucumber.js'],
    rules: { 'n/no-sync': 'off', 'no-console': 'off' },
  },
];
