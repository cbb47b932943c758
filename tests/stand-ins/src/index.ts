/** Library side of the stand-ins: run logs, expected answers, fleet launcher and caller client. */
export * from './common/run-log.js';
export * from './engine/answer.js';
