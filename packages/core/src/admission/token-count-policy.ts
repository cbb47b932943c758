/** Fair queueing by token counts (virtual token counter, VTC). */
import { leastBy } from '../routing/target-load.js';
import type { AdmissionOutcome, AdmissionRequest, FairnessPolicy } from './admission-policy.js';
import { CustomerQueues } from './customer-queues.js';

/** Maximum number of customer counters; above it the least recently updated ones are removed. */
const MAX_COUNTERS = 50_000;

/**
 * Admits the customer that has received the least service so far. Each admitted request adds its expected cost
 * divided by the customer's weight; the difference to the actual cost is added when it ends. A
 * customer that returns after an idle period starts at the lowest counter of the queued customers, so
 * idle time earns no credit.
 *
 * @example new TokenCountPolicy().pop(0) // undefined
 */
export class TokenCountPolicy implements FairnessPolicy {
  readonly name = 'token-count';

  private readonly queues = new CustomerQueues();

  private readonly counters = new Map<string, number>();

  /** Counter of the customer admitted last; new customers start here when nothing is queued. */
  private lastAdmittedCounter = 0;

  get size(): number {
    return this.queues.size;
  }

  get queuedCustomerCount(): number {
    return this.queues.customerCount;
  }

  push(req: AdmissionRequest): void {
    if (this.queues.countOf(req.customer) === 0) {
      const queuedCounters = this.queues.customers.map((customer) => this.counterOf(customer));
      const floor =
        queuedCounters.length > 0 ? Math.min(...queuedCounters) : this.lastAdmittedCounter;
      this.setCounter(req.customer, Math.max(this.counterOf(req.customer), floor));
    }
    this.queues.add(req);
  }

  pop(
    _now?: number,
    mayRun: (customer: string) => boolean = () => true,
  ): AdmissionRequest | undefined {
    const customers = this.queues.customers.filter(mayRun);
    const customer = leastBy(customers, (id) => this.counterOf(id));
    const req = customer === undefined ? undefined : this.queues.firstOf(customer);
    if (!req) return undefined;
    this.queues.remove(req.id);
    this.lastAdmittedCounter = this.counterOf(req.customer);
    this.setCounter(req.customer, this.lastAdmittedCounter + req.cost / req.weight);
    return req;
  }

  remove(id: string): AdmissionRequest | undefined {
    return this.queues.remove(id);
  }

  onFinished(req: AdmissionRequest, outcome: AdmissionOutcome): void {
    const difference = (outcome.cost - req.cost) / req.weight;
    this.setCounter(req.customer, this.counterOf(req.customer) + difference);
  }

  queuedCountOf(customer: string): number {
    return this.queues.countOf(customer);
  }

  queued(): readonly AdmissionRequest[] {
    return this.queues.all();
  }

  private counterOf(customer: string): number {
    return this.counters.get(customer) ?? 0;
  }

  private setCounter(customer: string, value: number): void {
    // Deleting first moves the customer to the end, so the first entry is the least recently updated.
    this.counters.delete(customer);
    this.counters.set(customer, value);
    if (this.counters.size <= MAX_COUNTERS) return;
    const oldest = this.counters.keys().next().value;
    if (oldest !== undefined) this.counters.delete(oldest);
  }
}
