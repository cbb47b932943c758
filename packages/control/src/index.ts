/** Control daemon: configuration, membership, probes and orders. */
export * from './daemon.js';
export * from './control-state.js';
