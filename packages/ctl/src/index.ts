/** Operators' command-line client. */
export { runCtl } from './program.js';
export type { CtlIo } from './ctl-io.js';
