/** Queue of requests indexed by customer, shared by the fairness policies. */
import type { AdmissionRequest } from './admission-policy.js';

/** Requests in order of arrival, also grouped by customer. */
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
    const requests = this.byCustomer.get(req.customer) ?? new Map<string, AdmissionRequest>();
    requests.set(req.id, req);
    this.byCustomer.set(req.customer, requests);
  }

  remove(id: string): AdmissionRequest | undefined {
    const req = this.byId.get(id);
    if (!req) return undefined;
    this.byId.delete(id);
    const requests = this.byCustomer.get(req.customer);
    requests?.delete(id);
    if (requests?.size === 0) this.byCustomer.delete(req.customer);
    return req;
  }

  countOf(customer: string): number {
    return this.byCustomer.get(customer)?.size ?? 0;
  }

  /** The oldest request of the customers that pass the test. */
  oldest(test?: (customer: string) => boolean): AdmissionRequest | undefined {
    if (!test) return this.byId.values().next().value;
    // A linear scan is cheap: the queue is long only under overload, when its first request
    // usually passes.
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

  /** The customer's request with the highest priority; the oldest one on a tie. */
  firstOf(customer: string): AdmissionRequest | undefined {
    return [...(this.byCustomer.get(customer)?.values() ?? [])].reduce<
      AdmissionRequest | undefined
    >((best, req) => (best && best.priority >= req.priority ? best : req), undefined);
  }

  all(): AdmissionRequest[] {
    return [...this.byId.values()];
  }
}
