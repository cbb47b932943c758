/** Builds the snapshots of accepted configurations. */
import {
  MAIN_SECTIONS,
  assembleSnapshot,
  customerSectionName,
  makeSection,
  type Snapshot,
  type SnapshotSection,
} from './snapshot.js';
import type { CustomerConfig, MainPart } from './config-schema.js';

interface CachedSection {
  /** Customers of the section, in the order of the configuration. */
  readonly customers: readonly CustomerConfig[];
  readonly section: SnapshotSection;
}

/**
 * Builds snapshots of successive configurations. A section whose customers are the same objects as
 * before is reused, so a caller that caches parsed parts pays only for what changed.
 */
export class SnapshotBuilder {
  private cachedSections: ReadonlyMap<string, CachedSection> = new Map();

  /** Section name of each customer, cached so that an id is hashed only once. */
  private readonly sectionNames = new WeakMap<CustomerConfig, string>();

  /**
   * Builds the snapshot of an accepted configuration.
   *
   * @example new SnapshotBuilder().build(7, mainPart, customers).revision // 7
   */
  build(revision: number, main: MainPart, customers: readonly CustomerConfig[]): Snapshot {
    const lists = new Map<string, CustomerConfig[]>();
    customers.forEach((customer) => {
      const name = this.sectionNameOf(customer);
      const list = lists.get(name);
      if (list) list.push(customer);
      else lists.set(name, [customer]);
    });
    this.cachedSections = new Map(
      [...lists].map(([name, list]) => [name, this.customerSectionOf(name, list)]),
    );
    const mainSections = MAIN_SECTIONS.map((name) => makeSection(name, main[name]));
    const customerSections = [...this.cachedSections.values()].map(({ section }) => section);
    return assembleSnapshot(revision, [...mainSections, ...customerSections]);
  }

  private customerSectionOf(name: string, customers: readonly CustomerConfig[]): CachedSection {
    const before = this.cachedSections.get(name);
    if (
      before?.customers.length === customers.length &&
      before.customers.every((customer, index) => customer === customers[index])
    ) {
      return before;
    }
    const sorted = [...customers].sort((a, b) => (a.id < b.id ? -1 : 1));
    return { customers, section: makeSection(name, sorted) };
  }

  private sectionNameOf(customer: CustomerConfig): string {
    const known = this.sectionNames.get(customer);
    if (known !== undefined) return known;
    const name = customerSectionName(customer.id);
    this.sectionNames.set(customer, name);
    return name;
  }
}

/**
 * Builds the snapshot of one accepted configuration.
 *
 * @example buildSnapshot(7, mainPart, customers).revision // 7
 */
export function buildSnapshot(
  revision: number,
  main: MainPart,
  customers: readonly CustomerConfig[],
): Snapshot {
  return new SnapshotBuilder().build(revision, main, customers);
}
