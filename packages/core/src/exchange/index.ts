export * from './attempt-record.js';
export * from './deferral-outcomes.js';
export * from './next-request-step.js';
