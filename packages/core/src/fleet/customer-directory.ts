/** Finds customers by the digest of an API key or by name. */
import type { FleetConfig, FleetCustomer } from './fleet-config.js';

export type KeyMatch =
  | { readonly kind: 'known'; readonly customer: FleetCustomer }
  /** Several customers have the key, so that it identifies none of them. */
  | { readonly kind: 'shared' }
  | { readonly kind: 'unknown' };

export class CustomerDirectory {
  /** Customer by digest; undefined for a key of several customers. */
  private readonly byDigest = new Map<string, FleetCustomer | undefined>();

  constructor(private readonly customers: ReadonlyMap<string, FleetCustomer>) {
    customers.forEach((customer) =>
      customer.keyDigests.forEach((digest) => this.add(digest, customer)),
    );
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
