/** Chooses the customers that have labels of their own in metrics: the largest by recent use. */
import { OTHER_CUSTOMERS } from '@marjoramcart/runtime';

const MAX_NAMED = 20;
/** Customers whose use is compared; more of them in one interval have no labels of their own. */
const MAX_COUNTED = 2048;
/** Factor on the use in each interval, so that older use counts less. */
const DECAY = 0.5;
const MIN_USE = 0.5;

export class CustomerLabels {
  private readonly useOf = new Map<string, number>();

  private named = new Set<string>();

  /** @param onDropped called with a customer that has no label any more */
  constructor(private readonly onDropped: (customer: string) => void) {}

  /**
   * Counts use of a customer and returns its label.
   *
   * @example labels.count('acme', 700) // 'acme'
   */
  count(customer: string, amount: number): string {
    const use = this.useOf.get(customer);
    if (use !== undefined || this.useOf.size < MAX_COUNTED) {
      this.useOf.set(customer, (use ?? 0) + amount);
    }
    if (this.named.size < MAX_NAMED) this.named.add(customer);
    return this.labelOf(customer);
  }

  labelOf(customer: string): string {
    return this.named.has(customer) ? customer : OTHER_CUSTOMERS;
  }

  /** Chooses the customers anew; to be called at a steady interval. */
  refresh(): void {
    const sorted = [...this.useOf].sort(([, a], [, b]) => b - a);
    const largest = new Set(sorted.slice(0, MAX_NAMED).map(([customer]) => customer));
    // Customers without use keep their series until others need the room.
    const kept = [...this.named].filter((customer) => !largest.has(customer));
    const room = MAX_NAMED - largest.size;
    kept.slice(room).forEach((customer) => this.onDropped(customer));
    this.named = new Set([...largest, ...kept.slice(0, room)]);
    this.useOf.clear();
    sorted
      .map(([customer, use]) => [customer, use * DECAY] as const)
      .filter(([, use]) => use >= MIN_USE)
      .forEach(([customer, use]) => this.useOf.set(customer, use));
  }
}
