/** Items of one kind in a view, with the version of the view at which each last changed. */
import type {
  DomainSummary,
  ProcessRecord,
  SuspectRecord,
  TargetState,
} from '../messages/messages.js';

/** Removed items that are remembered; an entry that missed more gets the whole view. */
const MAX_REMOVED = 500;
/** A report that is younger than the one held by more than this is a newer one. */
const REPORT_AGE_STEP_MS = 250;

interface Stamped<Item> {
  readonly item: Item;
  /** Time of the ages in the item, in ms. */
  readonly at: number;
  /** Version of the view at which the item changed. */
  readonly changedInVersion: number;
}

/** How the items of one kind are told apart, compared without their ages, and made older. */
export interface ItemKind<Item> {
  readonly idOf: (item: Item) => string;
  readonly sameContent: (a: Item, b: Item) => boolean;
  readonly addAge: (item: Item, byMs: number) => Item;
  /** Whether `item`, of the same content as `held`, is more recent; `held` has its present age. */
  readonly isMoreRecent?: (held: Item, item: Item) => boolean;
}

export const targetItems: ItemKind<TargetState> = {
  idOf: ({ vm }) => vm,
  sameContent: (a, b) =>
    a.sequence === b.sequence &&
    a.running === b.running &&
    a.queued === b.queued &&
    a.waitMs === b.waitMs &&
    a.healthy === b.healthy &&
    a.leaving === b.leaving &&
    a.concurrency === b.concurrency &&
    a.address === b.address &&
    a.kind === b.kind &&
    sameList(a.services, b.services) &&
    sameList(a.cachedPrefixes, b.cachedPrefixes),
  addAge: (item, byMs) => ({ ...item, reportAgeMs: item.reportAgeMs + byMs }),
  isMoreRecent: (held, item) => item.reportAgeMs < held.reportAgeMs - REPORT_AGE_STEP_MS,
};

export const processItems: ItemKind<ProcessRecord> = {
  idOf: ({ process }) => process.bootId,
  sameContent: (a, b) =>
    a.revision === b.revision &&
    a.process.peerAddress === b.process.peerAddress &&
    a.process.callerAddress === b.process.callerAddress &&
    a.load?.openRequests === b.load?.openRequests &&
    a.load?.queued === b.load?.queued &&
    a.load?.draining === b.load?.draining,
  addAge: (item) => item,
};

export const summaryItems: ItemKind<DomainSummary> = {
  idOf: ({ failureDomain }) => failureDomain,
  // A version is never used for two contents.
  sameContent: (a, b) => a.version === b.version,
  addAge: (item, byMs) => ({ ...item, ageMs: item.ageMs + byMs }),
};

export const suspectItems: ItemKind<SuspectRecord> = {
  idOf: ({ digest }) => digest,
  sameContent: (a, b) => a.deaths === b.deaths && a.refused === b.refused,
  addAge: (item, byMs) => ({ ...item, expiresInMs: item.expiresInMs - byMs }),
};

export class ItemLog<Item> {
  private items = new Map<string, Stamped<Item>>();

  private readonly removedInVersion = new Map<string, number>();

  /** Highest version of which removals are forgotten. */
  private forgottenUpToVersion = 0;

  constructor(private readonly kind: ItemKind<Item>) {}

  /** Takes the present items; true when one differs, which then counts as changed in `version`. */
  update(list: readonly Item[], version: number, nowMs: number): boolean {
    const { idOf, sameContent: same, addAge: older, isMoreRecent: confirmed } = this.kind;
    const before = this.items;
    this.items = new Map(
      list.map((item) => {
        const held = before.get(idOf(item));
        const kept =
          held && same(held.item, item) && !confirmed?.(older(held.item, nowMs - held.at), item);
        return [idOf(item), kept ? held : { item, at: nowMs, changedInVersion: version }];
      }),
    );
    const removed = [...before.keys()].filter((id) => !this.items.has(id));
    removed.forEach((id) => this.recordRemoval(id, version));
    return removed.length > 0 || [...this.items.values()].some((i) => i.changedInVersion === version);
  }

  /** Whether the removals since a version are known. */
  covers(version: number): boolean {
    return version >= this.forgottenUpToVersion;
  }

  /** Items with their present ages, in the order of their ids; those changed since a version. */
  list(nowMs: number, since = -1): Item[] {
    const { addAge: older } = this.kind;
    return [...this.items.values()]
      .filter(({ changedInVersion: changedIn }) => changedIn > since)
      .map(({ item, at }) => older(item, Math.round(nowMs - at)))
      .sort(byId(this.kind));
  }

  /** Ids of items that were removed since a version; those that came back are among the changed. */
  removed(since: number): string[] {
    return [...this.removedInVersion].filter(([, version]) => version > since).map(([id]) => id);
  }

  private recordRemoval(id: string, version: number): void {
    // Insertion order is the order of versions.
    this.removedInVersion.delete(id);
    this.removedInVersion.set(id, version);
    const [oldest] = this.removedInVersion;
    if (this.removedInVersion.size <= MAX_REMOVED || !oldest) return;
    const [forgotten, removedIn] = oldest;
    this.removedInVersion.delete(forgotten);
    this.forgottenUpToVersion = removedIn;
  }
}

/** Order of items in a view. */
export function byId<Item>({ idOf }: ItemKind<Item>): (a: Item, b: Item) => number {
  return (a, b) => (idOf(a) < idOf(b) ? -1 : 1);
}

function sameList(a: readonly string[] = [], b: readonly string[] = []): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}
