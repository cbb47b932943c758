/** What customers used of their limits at this gateway; the smallest are counted together. */
import { OTHER_CUSTOMERS, type Metrics } from '@marjoramcart/runtime';

export const QuotaResult = {
  Granted: 'granted',
  Refused: 'refused',
  /** Granted by this gateway alone while the customer's owner was silent. */
  Ownerless: 'ownerless',
} as const;
export type QuotaResult = (typeof QuotaResult)[keyof typeof QuotaResult];

type Sums = Record<QuotaResult, number>;

/** Customers that are counted, and those that are shown. */
const MAX_COUNTED = 1000;
const MAX_SHOWN = 20;

export class CustomerUse {
  private readonly sums = new Map<string, Sums>();

  private readonly others: Sums = zero();

  /** @param standIns customers for which this gateway grants in place of another one */
  constructor(metrics: Metrics, standIns: () => number) {
    const counter = metrics.counter(
      'quota_units_total',
      'Units of the limits of customers, for the 20 that used the most here.',
      ['customer', 'result'],
    );
    Object.assign(counter, {
      collect: () => {
        counter.reset();
        this.largest().forEach(({ customer, ...sums }) =>
          Object.values(QuotaResult).forEach((result) =>
            counter.inc({ customer, result }, sums[result]),
          ),
        );
      },
    });
    const gauge = metrics.gauge(
      'quota_stand_ins',
      'Customers whose limits this gateway grants in place of another one.',
    );
    Object.assign(gauge, { collect: () => gauge.set(standIns()) });
  }

  add(customer: string, result: QuotaResult, amount: number): void {
    const known = this.sums.get(customer);
    if (!known && this.sums.size >= MAX_COUNTED) this.dropSmallest();
    const sums = known ?? zero();
    sums[result] += amount;
    this.sums.set(customer, sums);
  }

  /** The customers that used the most, and the rest as `other`. */
  largest(): readonly (Sums & { readonly customer: string })[] {
    const rows = [...this.sums]
      .map(([customer, sums]) => ({ customer, ...sums }))
      .sort((a, b) => total(b) - total(a));
    const rest = rows.slice(MAX_SHOWN).reduce((sum, row) => added(sum, row), this.others);
    const shown = rows.slice(0, MAX_SHOWN);
    return total(rest) > 0 ? [...shown, { customer: OTHER_CUSTOMERS, ...rest }] : shown;
  }

  /** Drops a tenth, so that this is rare. */
  private dropSmallest(): void {
    [...this.sums]
      .sort(([, a], [, b]) => total(a) - total(b))
      .slice(0, MAX_COUNTED / 10)
      .forEach(([customer, sums]) => {
        Object.assign(this.others, added(this.others, sums));
        this.sums.delete(customer);
      });
  }
}

function zero(): Sums {
  return { granted: 0, refused: 0, ownerless: 0 };
}

function total({ granted, refused, ownerless }: Sums): number {
  return granted + refused + ownerless;
}

function added(a: Sums, b: Sums): Sums {
  return {
    granted: a.granted + b.granted,
    refused: a.refused + b.refused,
    ownerless: a.ownerless + b.ownerless,
  };
}
