/** Prometheus metrics of a process, all with the prefix `marjoramcart_`. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Label value shared by all customers that have no label value of their own. */
export const OTHER_CUSTOMERS = 'other';

/** The default of 10 ms would wake an idle process 100 times per second. */
const EVENT_LOOP_PRECISION_MS = 100;
const METRIC_PREFIX = 'marjoramcart_';

export class Metrics {
  readonly registry = new Registry();

  constructor(labels: Readonly<Record<string, string>> = {}) {
    this.registry.setDefaultLabels(labels);
    collectDefaultMetrics({
      register: this.registry,
      prefix: METRIC_PREFIX,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
  }

  counter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[] = [],
  ): Counter<Label> {
    return new Counter({
      name: METRIC_PREFIX + name,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  gauge<Label extends string>(name: string, help: string, labelNames: Label[] = []): Gauge<Label> {
    return new Gauge({ name: METRIC_PREFIX + name, help, labelNames, registers: [this.registry] });
  }

  histogram<Label extends string>(
    name: string,
    help: string,
    buckets: number[],
    labelNames: Label[] = [],
  ): Histogram<Label> {
    return new Histogram({
      name: METRIC_PREFIX + name,
      help,
      buckets,
      labelNames,
      registers: [this.registry],
    });
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
