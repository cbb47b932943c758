/** Library for tests: run logs, expected responses, fleet launcher and gateway client. */
export * from './common/run-log.js';
export * from './engine/chat-completion.js';
export type { FlowState } from './fault-proxy/flow.js';
export * from './fleet/fleet.js';
export * from './fleet/launch-steps.js';
export * from './fleet/http-client.js';
export * from './fleet/layout.js';
export * from './fleet/managed-process.js';
export * from './fleet/ports.js';
export * from './fleet/process-group.js';
export * from './fleet/settings-files.js';
export * from './fleet/wait.js';
export * from './caller/call-result.js';
export * from './caller/caller.js';
export * from './caller/event-stream.js';
export * from './fleet/example-config.js';
