/** Metrics about the division of scarce capacity between customers. */
import type { Metrics } from '@marjoramcart/runtime';
import { CustomerLabels } from '../metrics/customer-labels.js';

const OUTCOMES = ['asked', 'admitted', 'refused'] as const;
export type SharingOutcome = (typeof OUTCOMES)[number];

export class SharingMetrics {
  private readonly labels: CustomerLabels;

  private readonly work;

  /** @param shortages called when the metrics are collected; share of refused work by service */
  constructor(metrics: Metrics, shortages: () => ReadonlyMap<string, number>) {
    this.work = metrics.counter(
      'sharing_work_total',
      'Units of work that customers asked for, that were admitted, and that were refused so that others got their shares.',
      ['customer', 'outcome'],
    );
    this.labels = new CustomerLabels((customer) =>
      OUTCOMES.forEach((outcome) => this.work.remove({ customer, outcome })),
    );
    const gauge = metrics.gauge(
      'sharing_shortage',
      'Share of the work of customers that was refused lately in the region, by service.',
      ['service'],
    );
    Object.assign(gauge, {
      collect: () => {
        gauge.reset();
        shortages().forEach((shortage, service) => gauge.set({ service }, shortage));
      },
    });
  }

  count(customer: string, outcome: SharingOutcome, units: number): void {
    const label =
      outcome === 'asked' ? this.labels.count(customer, units) : this.labels.labelOf(customer);
    this.work.inc({ customer: label, outcome }, units);
  }

  /** Chooses the customers that have labels of their own anew. */
  refresh(): void {
    this.labels.refresh();
  }
}
