export * from './retry-budget.js';
export * from './suspect-table.js';
