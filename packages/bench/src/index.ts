/** Policy benchmark; the load generator and the other benchmarks are command-line programs. */
export * from './policies/run-scenario.js';
export * from './policies/policy-combinations.js';
export * from './policies/workloads.js';
