export * from './crash-suspects.js';
export * from './retry-budget.js';
export * from './segment-shares.js';
export * from './suspect-table.js';
export * from './shared-retry-budget.js';
export * from './sliding-window-counter.js';
