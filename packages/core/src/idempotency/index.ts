export * from './idempotency-key.js';
export * from './key-table.js';
