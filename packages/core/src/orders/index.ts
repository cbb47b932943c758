export * from './domain-permits.js';
export * from './engine-state.js';
export * from './fencing.js';
export * from './weight-load-limiter.js';
export * from './order-tracker.js';
export * from './order-step.js';
export * from './placement-gaps.js';
export * from './placement.js';
