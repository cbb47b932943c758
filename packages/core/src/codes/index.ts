export * from './result-codes.js';
export * from './result-codes-page.js';
