export * from './allowed-regions.js';
