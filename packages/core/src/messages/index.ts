export * from './messages.js';
