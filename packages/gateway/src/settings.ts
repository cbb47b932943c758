/** Settings of a gateway, independent of the file that they were read from. */
import type { SharedBudgetLimits } from '@marjoramcart/core';
import type { GatewayTuning } from './tuning.js';

export interface GatewaySettings {
  readonly node: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Region of each failure domain. */
  readonly domains: ReadonlyMap<string, string>;
  readonly listen: {
    /** `ip:port` each. */
    readonly callers: string;
    readonly ready: string;
    readonly directory: string;
    /** JSON-RPC of other gateways. */
    readonly peers: string;
    readonly metrics: string;
  };
  /** Port for gossip, the same on all VMs. */
  readonly gossipPort: number;
  /** Port for requests of other gateways, the same on all VMs. */
  readonly forwardPort: number;
  /** Port for JSON-RPC of other gateways, the same on all VMs. */
  readonly peerRpcPort: number;
  /** Addresses of other gateways to begin with; some may be down. */
  readonly seedIps: readonly string[];
  readonly retryBudget: SharedBudgetLimits;
  /** Requests that a cold target bears in a second: its rate times `factor` plus `slack`. */
  readonly cold: { readonly factor: number; readonly slack: number };
  /** Time between SIGTERM and the end of the process, ms. */
  readonly graceMs: number;
  /** Longest life of an answer of the directory, s. */
  readonly maxDirectoryTtlS: number;
  readonly tuning: GatewayTuning;
}
