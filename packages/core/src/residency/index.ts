export * from './allowed-regions.js';
export * from './forward-path.js';
