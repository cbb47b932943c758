export * from './admission-policy.js';
export * from './customer-limits.js';
export * from './experiential-fairness-policy.js';
export * from './first-come-policy.js';
export * from './token-count-policy.js';
export * from './window-admission-controller.js';
