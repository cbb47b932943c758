/** Metrics of a control daemon. */
import type { Metrics } from '@marjoramcart/runtime';

export type ControlMetrics = ReturnType<typeof createControlMetrics>;

/** Registers the metrics of a control daemon. */
export function createControlMetrics(metrics: Metrics) {
  return {
    bytes: metrics.counter(
      'control_bytes_total',
      'Bytes of gossip, fetches, probes, orders and platform reads, with HTTP headers',
      ['direction'],
    ),
    syncBytes: metrics.counter(
      'control_sync_bytes_total',
      'Bytes of messages with the entries of this VM over loopback',
      ['direction'],
    ),
    platformCalls: metrics.counter(
      'control_platform_calls_total',
      'Reads and pending watches at the platform',
      ['kind'],
    ),
    platformFailures: metrics.counter('control_platform_failures_total', 'Failed reads', ['kind']),
    staleAnswers: metrics.counter(
      'control_stale_config_total',
      'Answers of the configuration service older than what is held',
    ),
    revision: metrics.gauge('control_config_revision', 'Configuration revision in force'),
    rejectedRevision: metrics.gauge(
      'control_config_rejected_revision',
      'Latest refused revision above the one in force, or 0',
    ),
    vmListVersion: metrics.gauge('control_vm_list_version', 'Version of the list of VMs held'),
    probes: metrics.counter('control_probes_total', 'Probes of targets', ['result']),
    gossip: metrics.counter('control_gossip_total', 'Exchanges started', ['result']),
    orders: metrics.counter('control_orders_total', 'Orders sent to engines', ['result']),
    targets: metrics.gauge('control_targets', 'Targets of the failure domain', ['state']),
    isolated: metrics.gauge('control_isolated', '1 while most targets failed at once'),
    refused: metrics.gauge('control_refused_messages', 'Messages refused as not authenticated'),
    pauses: metrics.counter('control_pauses_total', 'Pauses of this process'),
  };
}
