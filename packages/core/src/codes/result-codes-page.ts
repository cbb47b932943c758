/** Generates the content of `docs/result-codes.md`. */
import { ResultCodes, type ResultCode } from './result-codes.js';

const HEAD = `# Result codes

Generated from \`packages/core/src/codes/result-codes.ts\` by \`node scripts/write-result-codes.js\`.

Every answer of an entry has its code in the header \`marjoramcart-code\` and the run state in
\`marjoramcart-run\`; an error has both in its body as well. The run state tells whether a target ran
the request: \`ran\`, \`not_run\` (it did not run and never will) or \`unknown\`.

Ranges: 1xxx input, 2xxx identity and residency, 3xxx limits and admission, 4xxx routing and
targets, 5xxx idempotency and outcomes, 6xxx daemons' peers, 9xxx internal.

| code | name | HTTP status | run | meaning | what to do next |
|---|---|---|---|---|---|
`;

/**
 * Renders the table of result codes as Markdown, ordered by code.
 *
 * @example resultCodesPage().startsWith('# Result codes') // true
 */
export function resultCodesPage(): string {
  const rows = Object.values<ResultCode>(ResultCodes)
    .sort((a, b) => a.code - b.code)
    .map(
      ({ code, name, status, run, message, next }) =>
        `| ${code} | \`${name}\` | ${status} | \`${run}\` | ${message} | ${next} |\n`,
    );
  return `${HEAD}${rows.join('')}`;
}
