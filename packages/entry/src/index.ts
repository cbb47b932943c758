/** Entry daemon. */
export * from './entry-daemon.js';
