/** Items of one kind in a view, each with the version of the view in which it last changed. */
import type {
  DomainSummary,
  ProcessRecord,
  SuspectRecord,
  TargetState,
} from '../messages/messages.js';

/** Limit of remembered removals; an entry that missed more receives the full view. */
const MAX_REMEMBERED_REMOVALS = 500;
/** A report counts as newer than the stored one if its age is lower by more than this. */
const REPORT_AGE_STEP_MS = 250;

interface LoggedItem<Item> {
  readonly item: Item;
  /** Time to which the ages in the item refer, in ms. */
  readonly at: number;
  /** Version of the view in which the item last changed. */
  readonly changedInVersion: number;
}

/** How items of one kind are identified, compared and aged. */
export interface ItemKind<Item> {
  readonly idOf: (item: Item) => string;
  /** Compares two items without their ages. */
  readonly sameContent: (a: Item, b: Item) => boolean;
  /** Returns the item with its ages increased by `byMs`. */
  readonly addAge: (item: Item, byMs: number) => Item;
  /**
   * Whether `item` is a newer report with the same content as `held`; `held` has its current age.
   */
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
  // Each version of a summary has exactly one content.
  sameContent: (a, b) => a.version === b.version,
  addAge: (item, byMs) => ({ ...item, ageMs: item.ageMs + byMs }),
};

export const suspectItems: ItemKind<SuspectRecord> = {
  idOf: ({ digest }) => digest,
  sameContent: (a, b) => a.deaths === b.deaths && a.refused === b.refused,
  addAge: (item, byMs) => ({ ...item, expiresInMs: item.expiresInMs - byMs }),
};

export class ItemLog<Item> {
  private items = new Map<string, LoggedItem<Item>>();

  private readonly removedInVersion = new Map<string, number>();

  /** Highest version with a removal that is no longer remembered. */
  private forgottenUpToVersion = 0;

  constructor(private readonly kind: ItemKind<Item>) {}

  /** Replaces the items and marks differing ones as changed in `version`; true if there are any. */
  update(list: readonly Item[], version: number, nowMs: number): boolean {
    const { idOf, sameContent, addAge, isMoreRecent } = this.kind;
    const before = this.items;
    this.items = new Map(
      list.map((item) => {
        const held = before.get(idOf(item));
        const kept =
          held &&
          sameContent(held.item, item) &&
          !isMoreRecent?.(addAge(held.item, nowMs - held.at), item);
        return [idOf(item), kept ? held : { item, at: nowMs, changedInVersion: version }];
      }),
    );
    const removed = [...before.keys()].filter((id) => !this.items.has(id));
    removed.forEach((id) => this.recordRemoval(id, version));
    return (
      removed.length > 0 || [...this.items.values()].some((i) => i.changedInVersion === version)
    );
  }

  /** Whether all removals since a version are remembered. */
  covers(version: number): boolean {
    return version >= this.forgottenUpToVersion;
  }

  /** Items that changed after the version `since`, with their current ages, sorted by id. */
  list(nowMs: number, since = -1): Item[] {
    const { addAge } = this.kind;
    return [...this.items.values()]
      .filter(({ changedInVersion }) => changedInVersion > since)
      .map(({ item, at }) => addAge(item, Math.round(nowMs - at)))
      .sort(byId(this.kind));
  }

  /** Ids of items removed after the version `since`; items added again are also in `list`. */
  removed(since: number): string[] {
    return [...this.removedInVersion].filter(([, version]) => version > since).map(([id]) => id);
  }

  private recordRemoval(id: string, version: number): void {
    // Inserts the id again, so that the map stays sorted by version.
    this.removedInVersion.delete(id);
    this.removedInVersion.set(id, version);
    const [oldest] = this.removedInVersion;
    if (this.removedInVersion.size <= MAX_REMEMBERED_REMOVALS || !oldest) return;
    const [forgotten, removedIn] = oldest;
    this.removedInVersion.delete(forgotten);
    this.forgottenUpToVersion = removedIn;
  }
}

/** Comparator that sorts the items of a view by id. */
export function byId<Item>({ idOf }: ItemKind<Item>): (a: Item, b: Item) => number {
  return (a, b) => (idOf(a) < idOf(b) ? -1 : 1);
}

function sameList(a: readonly string[] = [], b: readonly string[] = []): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}
