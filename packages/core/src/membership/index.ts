export * from './membership-timing.js';
