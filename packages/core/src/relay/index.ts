export * from './sse-frames.js';
