export * from './allowed-regions.js';
export * from './forward-path.js';
export * from './region-scope.js';
export * from './tolerated-regions.js';
