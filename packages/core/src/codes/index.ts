export * from './result-codes.js';
