/** Metrics of a gateway: results and latencies by route, attempts by place. */
import type { Metrics, TimerService } from '@marjoramcart/runtime';

const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16];
const MS_PER_S = 1000;

export class GatewayMetrics {
  private readonly results;

  private readonly attempts;

  private readonly seconds;

  constructor(
    metrics: Metrics,
    private readonly timers: TimerService,
  ) {
    this.results = metrics.counter('results_total', 'Requests by route and result.', [
      'route',
      'result',
    ]);
    this.attempts = metrics.counter('attempts_total', 'Attempts by place.', ['place', 'retry']);
    this.seconds = metrics.histogram(
      'request_seconds',
      'Time from the arrival of a request to the end of its answer.',
      LATENCY_BUCKETS_S,
      ['route'],
    );
  }

  onAttempt(place: string, retry: boolean): void {
    this.attempts.inc({ place, retry: String(retry) });
  }

  /** Counts a request that was answered without a route. */
  onResult(result: string): void {
    this.results.inc({ route: '', result });
  }

  /** Measures a request; the function that is returned takes its result. */
  start(route: string, arrivedAt: number): (result: string) => void {
    return (result) => {
      this.results.inc({ route, result });
      this.seconds.observe({ route }, (this.timers.now() - arrivedAt) / MS_PER_S);
    };
  }
}
