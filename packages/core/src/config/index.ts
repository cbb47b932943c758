export * from './check-text.js';
export * from './diff-text.js';
export * from './snapshot.js';
export { MAX_VALUE_BYTES } from './parse-part.js';
export type { TextFault, TextPart } from './text-fault.js';
export * from './text-schema.js';
