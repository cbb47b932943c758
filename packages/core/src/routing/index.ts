export * from './routing-policy.js';
