export * from './check-text.js';
export * from './diff-text.js';
export * from './schema-issues.js';
export * from './snapshot.js';
export { MAX_VALUE_BYTES } from './parse-part.js';
export { MAX_FAULTS, type TextFault, type TextPart } from './text-fault.js';
export * from './text-schema.js';
export * from './yaml-position.js';
