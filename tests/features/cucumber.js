/** Configuration of the scenarios; `tsc -b` compiles the steps from `src`. */
export default {
  paths: ['tests/features/scenarios/**/*.feature'],
  import: ['tests/features/dist/support/*.js', 'tests/features/dist/steps/*.js'],
  format: ['progress'],
  formatOptions: { snippetInterface: 'async-await' },
  strict: true,
};
