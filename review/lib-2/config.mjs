/** Parts of the operator's configuration. */
import { HOST } from './net.mjs';

export const route = (name, kind, service, changes = {}) => ({
  name: `r-${name}`,
  host: HOST,
  prefix: `/${name}/`,
  kind,
  timeoutMs: 12000,
  targetLatencyMs: 600,
  priority: 1,
  service,
  maxAttempts: 2,
  sticky: kind === 'streaming',
  resumable: false,
  homeRegions: [],
  ...(kind === 'streaming' ? { targetGapMs: 300 } : {}),
  ...changes,
});

export const configOf = (version, routes, services) => ({
  version,
  routes,
  services,
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
});

export const modelService = (name, changes = {}) => ({
  name,
  healthPath: '/healthz',
  maxConnections: 360,
  protocol: 'h1',
  tls: false,
  warmupS: 3.0,
  coldPerS: 2.9,
  engine: { slots: 64, kvCapacityTokens: 436151, tokenKvBytes: 163840, linkMbps: 740000 },
  ...changes,
});

export const plainService = (name) => ({
  name,
  healthPath: '/healthz',
  maxConnections: 100,
  protocol: 'h1',
  tls: false,
  warmupS: 0,
  coldPerS: 0,
});
