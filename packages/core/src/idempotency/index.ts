export * from './idempotency-key.js';
