/** Queued requests by customer; the basis of the fairness policies. */
import type { AdmissionRequest } from './admission-policy.js';

/** Requests in order of arrival, with the number of each customer's. */
export class CustomerQueues {
  private readonly byId = new Map<string, AdmissionRequest>();

  private readonly byCustomer = new Map<string, Map<string, AdmissionRequest>>();

  get size(): number {
    return this.byId.size;
  }

  get customerCount(): number {
    return this.byCustomer.size;
  }

  /** Customers with a queued request. */
  get customers(): string[] {
    return [...this.byCustomer.keys()];
  }

  add(req: AdmissionRequest): void {
    this.byId.set(req.id, req);
    const own = this.byCustomer.get(req.customer) ?? new Map<string, AdmissionRequest>();
    own.set(req.id, req);
    this.byCustomer.set(req.customer, own);
  }

  remove(id: string): AdmissionRequest | undefined {
    const req = this.byId.get(id);
    if (!req) return undefined;
    this.byId.delete(id);
    const own = this.byCustomer.get(req.customer);
    own?.delete(id);
    if (own?.size === 0) this.byCustomer.delete(req.customer);
    return req;
  }

  countOf(customer: string): number {
    return this.byCustomer.get(customer)?.size ?? 0;
  }

  /** The request that arrived first, of the customers that pass the test. */
  oldest(test?: (customer: string) => boolean): AdmissionRequest | undefined {
    if (!test) return this.byId.values().next().value;
    // The queue is long only under overload, and then its first request mostly passes.
    const results = new Map<string, boolean>();
    const passes = ({ customer }: AdmissionRequest): boolean => {
      const result = results.get(customer) ?? test(customer);
      results.set(customer, result);
      return result;
    };
    const queued = this.byId.values();
    let next = queued.next();
    while (!next.done && !passes(next.value)) next = queued.next();
    return next.done ? undefined : next.value;
  }

  /** The customer's request with the highest priority; the oldest of equals. */
  firstOf(customer: string): AdmissionRequest | undefined {
    return [...(this.byCustomer.get(customer)?.values() ?? [])].reduce<
      AdmissionRequest | undefined
    >((best, req) => (best && best.priority >= req.priority ? best : req), undefined);
  }

  all(): AdmissionRequest[] {
    return [...this.byId.values()];
  }
}
