/** Gateway of one VM, with ports for the platform that it runs on. */
export * from './callers/caller-task.js';
export * from './gateway.js';
export * from './ports/fleet-source.js';
export * from './ports/request-protocol.js';
export * from './settings.js';
export * from './tuning.js';
