/** Metrics of the entry: latencies per class and named customer, attempts and requests. */
import { OTHER_CUSTOMERS, type Metrics } from '@marjoramcart/runtime';
import type { ConfigView } from '@marjoramcart/core';

const FIRST_TOKEN_BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.4, 0.7, 1, 1.3, 2, 4, 8, 16, 32];
const BETWEEN_TOKENS_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.04, 0.072, 0.1, 0.2, 0.5, 1, 4];
const TOTAL_BUCKETS_S = [0.01, 0.05, 0.1, 0.5, 1, 2, 4, 8, 16, 32, 64, 128];
const MS_PER_S = 1000;

/** Measures the latencies of one call. */
export interface CallTimer {
  /** Records that events were relayed to the caller. */
  onEvents(): void;
  end(code: number, run: string): void;
}

export class EntryMetrics {
  private readonly requests;

  private readonly attempts;

  private readonly forwards;

  private readonly results;

  private readonly rejectedBodies;

  private readonly firstToken;

  private readonly betweenTokens;

  private readonly total;

  constructor(metrics: Metrics) {
    const labels: ('class' | 'customer')[] = ['class', 'customer'];
    this.requests = metrics.counter('requests_total', 'Requests that were dispatched.');
    this.attempts = metrics.counter('attempts_total', 'Attempts to run requests.');
    this.forwards = metrics.counter('forwards_total', 'Attempts to forward requests.');
    this.results = metrics.counter('results_total', 'Responses by result code.', ['code', 'run']);
    this.rejectedBodies = metrics.counter(
      'bodies_rejected_total',
      'Request bodies that were rejected while they were read, as bodies took up too much.',
      ['reason'],
    );
    this.firstToken = metrics.histogram(
      'first_token_seconds',
      'Time from arrival to the first token or the whole response.',
      FIRST_TOKEN_BUCKETS_S,
      labels,
    );
    this.betweenTokens = metrics.histogram(
      'between_tokens_seconds',
      'Time between events of a stream.',
      BETWEEN_TOKENS_BUCKETS_S,
      labels,
    );
    this.total = metrics.histogram(
      'request_seconds',
      'Time from arrival to the end of the response.',
      TOTAL_BUCKETS_S,
      labels,
    );
  }

  /** Counts a body that was rejected in favour of others. */
  onBodyRejected(reason: string): void {
    this.rejectedBodies.inc({ reason });
  }

  onRequest(): void {
    this.requests.inc();
  }

  onAttempt(): void {
    this.attempts.inc();
  }

  onForward(): void {
    this.forwards.inc();
  }

  onResult(code: number, run: string): void {
    this.results.inc({ code: String(code), run });
  }

  /** Starts the measurement of a call that arrived at `arrivedAt` (monotonic ms). */
  timer(
    config: ConfigView,
    customer: { readonly id: string; readonly class: string },
    arrivedAt: number,
    now: () => number,
  ): CallTimer {
    const named = config.metrics.customers.includes(customer.id);
    const labels = { class: customer.class, customer: named ? customer.id : OTHER_CUSTOMERS };
    const between = this.betweenTokens.labels(labels);
    let last: number | undefined;
    return {
      onEvents: () => {
        const at = now();
        if (last === undefined) this.firstToken.observe(labels, (at - arrivedAt) / MS_PER_S);
        else between.observe((at - last) / MS_PER_S);
        last = at;
      },
      end: (code, run) => {
        this.total.observe(labels, (now() - arrivedAt) / MS_PER_S);
        this.onResult(code, run);
      },
    };
  }
}
