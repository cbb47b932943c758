/**
 * Snapshot of an accepted configuration: a revision and sections, each with a hash. Daemons send each
 * other only the sections whose hash differs.
 */
import { createHash } from 'node:crypto';
import type {
  ClassConfig,
  CustomerConfig,
  LimitsConfig,
  MainPart,
  MetricsConfig,
  ModelConfig,
  RegionConfig,
  ServiceConfig,
} from './config-schema.js';

/** Number of customer sections; changing one customer resends only 1/256 of all customers. */
export const CUSTOMER_SECTION_COUNT = 256;

/** A section of a snapshot: its name, its JSON and the shortened SHA-256 of the JSON. */
export interface SnapshotSection {
  readonly name: string;
  readonly hash: string;
  readonly json: string;
}

/** Hash by section name. */
export type SectionHashes = Readonly<Record<string, string>>;

/** A complete configuration as daemons hold it. `rootHash` covers all section names and hashes. */
export interface Snapshot {
  readonly revision: number;
  readonly rootHash: string;
  readonly sections: ReadonlyMap<string, SnapshotSection>;
}

/** The changed sections of a snapshot, as sent between daemons. */
export interface SnapshotDelta {
  readonly revision: number;
  readonly rootHash: string;
  readonly changed: readonly SnapshotSection[];
  readonly removed: readonly string[];
}

/** The parsed form of a snapshot. */
export interface ConfigView {
  readonly revision: number;
  readonly regions: Readonly<Record<string, RegionConfig>>;
  readonly models: Readonly<Record<string, ModelConfig>>;
  readonly services: Readonly<Record<string, ServiceConfig>>;
  readonly classes: Readonly<Record<string, ClassConfig>>;
  readonly limits: LimitsConfig;
  readonly metrics: MetricsConfig;
  readonly customersById: ReadonlyMap<string, CustomerConfig>;
  /** Customers by the first 32 hexadecimal digits of the SHA-256 of their API key. */
  readonly customersByKey: ReadonlyMap<string, CustomerConfig>;
}

/** Names of the sections that hold keys of the main part. */
export const MAIN_SECTIONS = [
  'regions',
  'models',
  'services',
  'classes',
  'limits',
  'metrics',
] as const;
const HASH_HEX_DIGITS = 32;

/**
 * Hash used in snapshots: the first 32 hexadecimal digits of the SHA-256 of a text.
 *
 * @example hashText('{}').length // 32
 */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_HEX_DIGITS);
}

/**
 * Name of the section that holds a customer.
 *
 * @example customerSectionName('c1').startsWith('customers/') // true
 */
export function customerSectionName(customerId: string): string {
  const bucket = Number.parseInt(hashText(customerId).slice(0, 8), 16) % CUSTOMER_SECTION_COUNT;
  return `customers/${bucket.toString(16).padStart(2, '0')}`;
}

/**
 * Computes the sections of `snapshot` that differ from those in `held`, and the names in `held` that
 * `snapshot` no longer has.
 *
 * @example snapshotDelta(snapshot, {}).changed.length === snapshot.sections.size // true
 */
export function snapshotDelta(snapshot: Snapshot, held: SectionHashes): SnapshotDelta {
  const changed = [...snapshot.sections.values()].filter(({ name, hash }) => held[name] !== hash);
  const removed = Object.keys(held).filter((name) => !snapshot.sections.has(name));
  return { revision: snapshot.revision, rootHash: snapshot.rootHash, changed, removed };
}

/** Why a delta could not be applied. */
export type DeltaError =
  /** The delta is older than the current snapshot, for example in a delayed response. */
  | { readonly kind: 'older-revision'; readonly held: number; readonly offered: number }
  | { readonly kind: 'section-hash-mismatch'; readonly section: string }
  | { readonly kind: 'root-hash-mismatch' };

export type DeltaResult =
  | { readonly kind: 'applied'; readonly snapshot: Snapshot }
  | { readonly kind: 'rejected'; readonly error: DeltaError };

/**
 * Applies a delta to the snapshot that it was computed for (or to none) and checks every hash. A delta
 * with a lower revision than the base is rejected, so that reordered deltas never lower the revision.
 *
 * @example applyDelta(undefined, snapshotDelta(snapshot, {})).kind // 'applied'
 */
export function applyDelta(base: Snapshot | undefined, delta: SnapshotDelta): DeltaResult {
  if (base && delta.revision < base.revision) {
    return {
      kind: 'rejected',
      error: { kind: 'older-revision', held: base.revision, offered: delta.revision },
    };
  }
  const corrupt = delta.changed.find(({ json, hash }) => hashText(json) !== hash);
  if (corrupt) {
    return {
      kind: 'rejected',
      error: { kind: 'section-hash-mismatch', section: corrupt.name },
    };
  }
  const sections = new Map(base?.sections ?? []);
  delta.removed.forEach((name) => sections.delete(name));
  delta.changed.forEach((section) => sections.set(section.name, section));
  const snapshot = assembleSnapshot(delta.revision, [...sections.values()]);
  return snapshot.rootHash === delta.rootHash
    ? { kind: 'applied', snapshot }
    : { kind: 'rejected', error: { kind: 'root-hash-mismatch' } };
}

/**
 * Hash of each section, as sent in a request for a delta.
 *
 * @example sectionHashes(undefined) // {}
 */
export function sectionHashes(snapshot: Snapshot | undefined): SectionHashes {
  return Object.fromEntries(
    [...(snapshot?.sections.values() ?? [])].map(({ name, hash }) => [name, hash]),
  );
}

/** A snapshot together with its parsed form. */
export interface ParsedSnapshot {
  readonly snapshot: Snapshot;
  readonly view: ConfigView;
}

/**
 * Parses the sections of a snapshot. Sections with the same hash in `before` are reused, since parsing
 * 25,000 customers takes tens of milliseconds.
 *
 * @example viewOfSnapshot(snapshot).services['crane-booking']?.kind // 'plain'
 */
export function viewOfSnapshot(snapshot: Snapshot, before?: ParsedSnapshot): ConfigView {
  const oldSections = before?.snapshot.sections;
  const isUnchanged = ({ name, hash }: SnapshotSection): boolean =>
    oldSections?.get(name)?.hash === hash;
  const parseSection = <Name extends (typeof MAIN_SECTIONS)[number]>(
    name: Name,
  ): MainPart[Name] => {
    const section = snapshot.sections.get(name);
    if (before && section && isUnchanged(section)) return before.view[name] as MainPart[Name];
    return JSON.parse(section?.json ?? '{}') as MainPart[Name];
  };
  const changed = [...snapshot.sections.values()].filter((section) => !isUnchanged(section));
  const replaced = [...(oldSections?.values() ?? [])].filter(
    ({ name, hash }) => snapshot.sections.get(name)?.hash !== hash,
  );
  const customersById = new Map(before?.view.customersById);
  const customersByKey = new Map(before?.view.customersByKey);
  // All removals come first, since an id or key may have moved to another section.
  replaced.flatMap(customersOf).forEach(({ id, key }) => {
    customersById.delete(id);
    customersByKey.delete(key);
  });
  changed.flatMap(customersOf).forEach((customer) => {
    customersById.set(customer.id, customer);
    customersByKey.set(customer.key, customer);
  });
  return {
    revision: snapshot.revision,
    regions: parseSection('regions'),
    models: parseSection('models'),
    services: parseSection('services'),
    classes: parseSection('classes'),
    limits: parseSection('limits'),
    metrics: parseSection('metrics'),
    customersById,
    customersByKey,
  };
}

function customersOf({ name, json }: SnapshotSection): CustomerConfig[] {
  return name.startsWith('customers/') ? (JSON.parse(json) as CustomerConfig[]) : [];
}

/** Creates a section with its hash. */
export function makeSection(name: string, value: unknown): SnapshotSection {
  const json = JSON.stringify(value);
  return { name, json, hash: hashText(json) };
}

/** Creates a snapshot from sections in any order. */
export function assembleSnapshot(revision: number, list: readonly SnapshotSection[]): Snapshot {
  const sorted = [...list].sort((a, b) => (a.name < b.name ? -1 : 1));
  const rootHash = hashText(sorted.map(({ name, hash }) => `${name}=${hash}`).join('\n'));
  return { revision, rootHash, sections: new Map(sorted.map((s) => [s.name, s])) };
}
