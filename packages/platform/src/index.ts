/** Node.js side of the daemons: kernel, timers, RPC, HTTP, logs, metrics and settings. */
export * from './http/body.js';
export * from './http/listener.js';
export * from './kernel/boot-id.js';
export * from './kernel/kernel.js';
export * from './kernel/mailbox.js';
export * from './kernel/plugins.js';
export * from './logs/logger.js';
export * from './metrics/metrics.js';
export * from './rpc/authentication.js';
export * from './rpc/compression.js';
export * from './rpc/rpc-client.js';
export * from './rpc/rpc-server.js';
export * from './settings/daemon-settings.js';
export * from './settings/load-settings.js';
export * from './timers/manual-timer-service.js';
export * from './timers/system-timer-service.js';
export * from './timers/timer-service.js';
