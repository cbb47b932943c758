export * from './attempt-record.js';
export * from './next-request-step.js';
