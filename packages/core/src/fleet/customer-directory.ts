/** Finds customers by the digest of an API key or by name. */
import type { FleetConfig, FleetCustomer, Route } from './fleet-config.js';

export type KeyMatch =
  | { readonly kind: 'known'; readonly customer: FleetCustomer }
  /** Several customers have the key, so that it identifies none of them. */
  | { readonly kind: 'shared' }
  | { readonly kind: 'unknown' };

export class CustomerDirectory {
  /** Customer by digest; undefined for a key of several customers. */
  private readonly byDigest = new Map<string, FleetCustomer | undefined>();

  /** Least urgent priority that a customer has itself; -Infinity if none has one. */
  private readonly leastUrgent: number;

  private readonly allHavePriority: boolean;

  constructor(private readonly customers: ReadonlyMap<string, FleetCustomer>) {
    const list = [...customers.values()];
    list.forEach((customer) => customer.keyDigests.forEach((digest) => this.add(digest, customer)));
    this.leastUrgent = list.reduce(
      (least, { priority = -Infinity }) => Math.max(least, priority),
      -Infinity,
    );
    this.allHavePriority = list.length > 0 && list.every(({ priority }) => priority !== undefined);
  }

  /**
   * Finds the customer of a key. The cost does not depend on the number of customers.
   *
   * @param digest SHA-256 digest of the key, hexadecimal
   * @example directory.matchKey(digest).kind // 'known'
   */
  matchKey(digest: string): KeyMatch {
    if (!this.byDigest.has(digest)) return { kind: 'unknown' };
    const customer = this.byDigest.get(digest);
    return customer ? { kind: 'known', customer } : { kind: 'shared' };
  }

  /** @example directory.byName('acme')?.priority // 2 */
  byName(name: string): FleetCustomer | undefined {
    return this.customers.get(name);
  }

  /**
   * Priority of the least urgent requests of some routes; 0 is the most urgent.
   *
   * @example directory.leastUrgentPriority(routes) // 9
   */
  leastUrgentPriority(routes: readonly Route[]): number {
    const ownPriorities = routes
      .filter(({ isPublic }) => isPublic === true || !this.allHavePriority)
      .map(({ priority }) => priority);
    return Math.max(...ownPriorities, this.leastUrgent);
  }

  private add(digest: string, customer: FleetCustomer): void {
    const isShared = this.byDigest.has(digest) && this.byDigest.get(digest)?.name !== customer.name;
    this.byDigest.set(digest, isShared ? undefined : customer);
  }
}

const directories = new WeakMap<ReadonlyMap<string, FleetCustomer>, CustomerDirectory>();

/**
 * Directory of the customers of a configuration, which is built once for each; undefined if the
 * configuration has no customers.
 *
 * @example customerDirectoryOf(config)?.matchKey(digest)
 */
export function customerDirectoryOf({
  customers,
}: Pick<FleetConfig, 'customers'>): CustomerDirectory | undefined {
  if (!customers) return undefined;
  const known = directories.get(customers) ?? new CustomerDirectory(customers);
  directories.set(customers, known);
  return known;
}
