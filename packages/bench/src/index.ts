/** Load tool and policy bench. */
export * from './policies/run-scenario.js';
export * from './policies/systems.js';
export * from './policies/workloads.js';
