export * from './sse-frame-parser.js';
