export * from './decayed-sum.js';
export * from './demand-table.js';
export * from './fair-levels.js';
export * from './share-gate.js';
export * from './work-units.js';
