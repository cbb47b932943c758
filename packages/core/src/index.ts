/** Pure logic of the gateway. */
export * from './admission/index.js';
export * from './codes/index.js';
export * from './config/index.js';
export * from './exchange/index.js';
export * from './fleet/index.js';
export * from './idempotency/index.js';
export * from './membership/index.js';
export * from './messages/index.js';
export * from './orders/index.js';
export * from './random-source.js';
export * from './rendezvous.js';
export * from './relay/index.js';
export * from './residency/index.js';
export * from './retries/index.js';
export * from './routing/index.js';
export * from './sharing/index.js';
export * from './streams/index.js';
