/** Metrics of a control daemon. */
import type { Metrics } from '@marjoramcart/runtime';

export type ControlMetrics = ReturnType<typeof createControlMetrics>;

/** Registers the metrics of a control daemon. */
export function createControlMetrics(metrics: Metrics) {
  return {
    bytes: metrics.counter(
      'control_bytes_total',
      'Bytes of gossip, fetches, probes, orders and platform reads, including HTTP headers',
      ['direction'],
    ),
    syncBytes: metrics.counter(
      'control_sync_bytes_total',
      'Bytes of messages exchanged with the entries of this VM over loopback',
      ['direction'],
    ),
    platformCalls: metrics.counter(
      'control_platform_calls_total',
      'Reads and watches sent to the platform',
      ['kind'],
    ),
    platformFailures: metrics.counter(
      'control_platform_failures_total',
      'Failed reads and watches of the platform',
      ['kind'],
    ),
    staleResponses: metrics.counter(
      'control_stale_config_total',
      'Responses of the configuration service with an older revision than the local one',
    ),
    revision: metrics.gauge('control_config_revision', 'Configuration revision in force'),
    rejectedRevision: metrics.gauge(
      'control_config_rejected_revision',
      'Latest rejected revision above the one in force, or 0',
    ),
    vmListVersion: metrics.gauge('control_vm_list_version', 'Version of the list of VMs in use'),
    probes: metrics.counter('control_probes_total', 'Probes of targets', ['result']),
    gossip: metrics.counter('control_gossip_total', 'Gossip exchanges started by this daemon', [
      'result',
    ]),
    orders: metrics.counter('control_orders_total', 'Orders sent to engines', ['result']),
    targets: metrics.gauge('control_targets', 'Targets of the failure domain', ['state']),
    isolated: metrics.gauge(
      'control_isolated',
      '1 while this daemon assumes that it is cut off because most targets failed at once',
    ),
    refused: metrics.gauge(
      'control_refused_messages',
      'Messages refused because they were not authenticated',
    ),
    pauses: metrics.counter('control_pauses_total', 'Detected pauses of this process'),
  };
}
