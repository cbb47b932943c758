export * from './start-evidence.js';
export * from './stream-versions.js';
export * from './version-history.js';
export * from './version-scope.js';
