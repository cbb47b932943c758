export * from './domain-plan.js';
export * from './engine-state.js';
export * from './fencing.js';
export * from './load-pacer.js';
export * from './order-ledger.js';
export * from './order-step.js';
export * from './placement-gaps.js';
export * from './placement.js';
