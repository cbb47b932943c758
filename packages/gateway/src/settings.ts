/** Settings of a gateway, independent of the format of the settings file. */
import type { SharedBudgetLimits } from '@marjoramcart/core';
import type { GatewayTuning } from './tuning.js';

export interface GatewaySettings {
  readonly node: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Region of each failure domain. */
  readonly regionOfDomain: ReadonlyMap<string, string>;
  readonly listen: {
    /** `ip:port` each. */
    readonly callers: string;
    readonly ready: string;
    readonly directory: string;
    /** Listener for JSON-RPC of other gateways. */
    readonly peers: string;
    readonly metrics: string;
  };
  /** Port for gossip, the same on all VMs. */
  readonly gossipPort: number;
  /** Port for requests of other gateways, the same on all VMs. */
  readonly forwardPort: number;
  /** Port for JSON-RPC of other gateways, the same on all VMs. */
  readonly peerRpcPort: number;
  /** Addresses of other gateways that are contacted at the start; some may be down. */
  readonly seedIps: readonly string[];
  readonly retryBudget: SharedBudgetLimits;
  /**
   * Limit of requests per second to a cold target, for all gateways of the region together: the
   * configured rate of its service times `factor` plus `slack`.
   */
  readonly coldRateLimit: { readonly factor: number; readonly slack: number };
  /** Time between SIGTERM and the end of the process, ms. */
  readonly graceMs: number;
  /** Descriptors of the VM for connections; absent if its settings tell none. */
  readonly maxDescriptors?: number;
  /** Memory of the VM, bytes. */
  readonly memoryBytes: number;
  /** Limit of the request bodies that are held at the same time, bytes. */
  readonly maxBodyMemoryBytes: number;
  /** The same for the responses of targets; those beyond it are passed on as callers read them. */
  readonly maxResponseMemoryBytes: number;
  /** Limit of the load reports of more than 64 KiB that are read at the same time, bytes. */
  readonly maxReportMemoryBytes: number;
  /** Limit of the requests of a listener that wait behind earlier ones of their connections, bytes. */
  readonly maxPipelinedBytes: number;
  /** Limit of the short responses whose callers have not read them, bytes. */
  readonly maxUnreadResponseBytes: number;
  /** How keys of customers are handled that a newer configuration may have added or removed. */
  readonly customers: {
    /** Whether a configuration is put in force only if it comes with the customers, if any. */
    readonly required: boolean;
    /** How long removed keys may be accepted without contact with the source, ms. */
    readonly revokeMs: number;
    /** Whether no key is accepted after that time. */
    readonly revokeFailClosed: boolean;
    /** Units by which a customer may exceed its limit within some seconds, over all gateways. */
    readonly limitSlack: number;
  };
  /** Longest lifetime of a directory response, s. */
  readonly maxDirectoryTtlS: number;
  readonly tuning: GatewayTuning;
}
