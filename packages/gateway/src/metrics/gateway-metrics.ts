/** Metrics of a gateway: results and latencies by route, attempts by kind of destination. */
import type { AuthFailure } from '@marjoramcart/core';
import type { Metrics, TimerService } from '@marjoramcart/runtime';

const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16];
const MS_PER_S = 1000;

export class GatewayMetrics {
  private readonly results;

  private readonly attempts;

  private readonly authFailures;

  private readonly durations;

  private readonly rejectedBodies;

  private readonly rejectedConnections;

  constructor(
    metrics: Metrics,
    private readonly timers: TimerService,
  ) {
    this.results = metrics.counter('results_total', 'Requests by route and result.', [
      'route',
      'result',
    ]);
    this.attempts = metrics.counter(
      'attempts_total',
      'Attempts by kind of destination, and whether a target was assumed to be cold.',
      ['place', 'retry', 'cold'],
    );
    this.authFailures = metrics.counter(
      'authentication_failures_total',
      'Requests that were not accepted from any customer, by reason.',
      ['reason'],
    );
    this.rejectedBodies = metrics.counter(
      'bodies_rejected_total',
      'Request bodies that were rejected while they were read, as bodies took up too much.',
      ['reason'],
    );
    this.rejectedConnections = metrics.counter(
      'connections_rejected_total',
      'Connections of callers and gateways that were closed because there were too many.',
    );
    this.durations = metrics.histogram(
      'request_seconds',
      'Time from the arrival of a request to the end of its response.',
      LATENCY_BUCKETS_S,
      ['route'],
    );
  }

  onAttempt(destinationKind: string, retry: boolean, cold: boolean): void {
    this.attempts.inc({ place: destinationKind, retry: String(retry), cold: String(cold) });
  }

  /** Counts a request that was refused before its route was known. */
  onRefusal(result: string): void {
    this.results.inc({ route: '', result });
  }

  onAuthFailure(reason: AuthFailure): void {
    this.authFailures.inc({ reason });
  }

  /** Counts a body that was rejected in favour of others. */
  onBodyRejected(reason: string): void {
    this.rejectedBodies.inc({ reason });
  }

  onConnectionsRejected(count: number): void {
    this.rejectedConnections.inc(count);
  }

  /** Starts to measure a request; the returned function records its result and its duration. */
  startRequest(route: string, arrivedAt: number): (result: string) => void {
    return (result) => {
      this.results.inc({ route, result });
      this.durations.observe({ route }, (this.timers.now() - arrivedAt) / MS_PER_S);
    };
  }
}
