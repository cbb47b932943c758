/** Writes docs/result-codes.md from the table in packages/core, which must be compiled first. */
import { writeFileSync } from 'node:fs';
import { resultCodesPage } from '@marjoramcart/core';

writeFileSync(new URL('../docs/result-codes.md', import.meta.url), resultCodesPage());
