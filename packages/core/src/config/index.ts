export * from './snapshot.js';
export * from './text-schema.js';
