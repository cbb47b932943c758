export * from './fencing.js';
