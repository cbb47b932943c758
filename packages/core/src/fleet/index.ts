export * from './cold-pacer.js';
export * from './fleet-config.js';
export * from './route-table.js';
export * from './target-record.js';
