/** Divides the descriptors of a gateway between its listeners and its connections to targets and gateways. */
import {
  ConnectionBudget,
  type ConnectionShare,
  type Logger,
  type Metrics,
} from '@marjoramcart/runtime';

/** Listening sockets, the store, peers, probes, logs and the event loop. */
const OWN_DESCRIPTORS = 40;
const MIN_CONNECTIONS = 64;
/** Shares of the connections that are reserved for a part; what is left goes to whoever needs it. */
const CALLERS_SHARE = 1 / 2;
const FORWARDS_SHARE = 1 / 8;
const OUTGOING_SHARE = 1 / 8;
const OTHER_SHARE = 1 / 64;
const MIN_OTHER = 4;
/** More than a fleet's gateways and operators open to a listener that callers do not use. */
const MAX_OTHER = 2048;
/** Share of the callers' connections on which bodies may be read at the same time. */
const OPEN_BODIES_SHARE = 3 / 4;

export interface GatewayConnectionsOptions {
  /** Descriptors that the process may open; `Infinity` if that is not known. */
  readonly descriptors: number;
  /** Upper bound of the connections of callers, and of those of other gateways. */
  readonly maxConnections: number;
  readonly metrics: Metrics;
  readonly log: Logger;
  readonly onRejected: (count: number) => void;
}

export class GatewayConnections {
  readonly callers: ConnectionShare;

  readonly forwards: ConnectionShare;

  /** To targets and other gateways. */
  readonly outgoing: ConnectionShare;

  readonly ready: ConnectionShare;

  readonly directory: ConnectionShare;

  readonly peers: ConnectionShare;

  readonly metrics: ConnectionShare;

  private readonly budget: ConnectionBudget;

  /** @example new GatewayConnections({ descriptors: 1024, maxConnections, metrics, log, onRejected }) */
  constructor({
    descriptors,
    maxConnections,
    metrics,
    log,
    onRejected,
  }: GatewayConnectionsOptions) {
    const limit = Math.min(
      Math.max(descriptors - OWN_DESCRIPTORS, MIN_CONNECTIONS),
      // Of callers and other gateways, and one to a target or gateway for each.
      maxConnections * 4 + MAX_OTHER,
    );
    this.budget = new ConnectionBudget(limit, (count) => {
      onRejected(count);
      log.warn('connections closed because there are too many', {
        count,
        limit,
        ...this.budget.open,
      });
    });
    const share = (
      name: string,
      part: number,
      max: number,
      { min = 0, opensOthers = false } = {},
    ): ConnectionShare =>
      this.budget.share({
        name,
        max,
        opensOthers,
        reserved: Math.max(Math.floor(limit * part), min),
      });
    const other = (name: string): ConnectionShare =>
      share(name, OTHER_SHARE, MAX_OTHER, { min: MIN_OTHER });
    this.callers = share('callers', CALLERS_SHARE, maxConnections, { opensOthers: true });
    this.forwards = share('forwards', FORWARDS_SHARE, maxConnections, { opensOthers: true });
    this.outgoing = share('outgoing', OUTGOING_SHARE, limit);
    this.ready = other('ready');
    this.directory = other('directory');
    this.peers = other('peers');
    this.metrics = other('metrics');
    this.exportMetrics(metrics);
  }

  /** Request bodies that may be read at the same time, so that some callers have none in progress. */
  get maxOpenBodies(): number {
    return Math.ceil(this.callers.reserved * OPEN_BODIES_SHARE);
  }

  private exportMetrics(metrics: Metrics): void {
    const { budget } = this;
    metrics
      .gauge('connection_limit', 'Connections that the process may have open.')
      .set(budget.limit);
    const gauge = metrics.gauge('open_connections', 'Open connections by part of the process.', [
      'part',
    ]);
    Object.assign(gauge, {
      collect: () =>
        Object.entries(budget.open).forEach(([part, open]) => gauge.set({ part }, open)),
    });
  }
}
