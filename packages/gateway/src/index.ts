/** Gateway of one VM, with interfaces that an adapter to the platform implements. */
export * from './callers/caller-task.js';
export * from './gateway.js';
export * from './ports/fleet-source.js';
export * from './ports/request-protocol.js';
export * from './settings.js';
export * from './tuning.js';
