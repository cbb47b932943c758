export * from './fleet-config.js';
export * from './leaving-targets.js';
export * from './route-table.js';
export * from './rate-shares.js';
export * from './shared-rate.js';
export * from './target-limits.js';
export * from './target-record.js';
export * from './version-lag.js';
