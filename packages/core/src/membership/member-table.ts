/**
 * Daemons of one failure domain, replicated by gossip. Each control daemon is the origin of what it
 * observes: itself, its entries and the targets it probes. Its heartbeat is the version of all of
 * these, so a digest of heartbeats tells a peer which items are missing.
 */
import type {
  EntryLoad,
  Heartbeats,
  OriginUpdate,
  ProcessEntry,
  ProcessRef,
  TargetItem,
} from '../messages/messages.js';
import { MembershipTiming } from './membership-timing.js';
import { near, quantise } from './quantise.js';

/** Unchanged items are repeated after this time, before their copies expire. */
const REFRESH_MS = 3000;
/** Heartbeats of dropped processes are kept, so that a late copy does not bring them back. */
const TOMBSTONE_MS = 60_000;

interface Stamped<Value> {
  readonly stamp: number;
  readonly value: Value;
  readonly atMs: number;
}

interface Origin {
  process: ProcessRef;
  heartbeat: number;
  revision: number;
  heardAt: number;
  readonly entries: Map<string, Stamped<ProcessEntry>>;
  readonly targets: Map<string, Stamped<TargetItem>>;
}

/** A target item that a merge brought, with the prober it came from. */
export interface MergedTarget {
  readonly prober: string;
  readonly item: TargetItem;
}

export class MemberTable {
  private readonly origins = new Map<string, Origin>();

  private readonly dropped = new Map<string, { heartbeat: number; atMs: number }>();

  private readonly own: Origin;

  constructor(
    private readonly self: ProcessRef,
    nowMs: number,
  ) {
    this.own = newOrigin(self, nowMs);
    this.own.heartbeat = 1;
    this.origins.set(self.bootId, this.own);
  }

  /** Starts the next heartbeat and drops what was not heard of for too long. */
  tick(revision: number, nowMs: number): void {
    this.own.heartbeat += 1;
    this.own.revision = revision;
    this.own.heardAt = nowMs;
    [...this.origins.values()]
      .filter(({ heardAt }) => nowMs - heardAt > MembershipTiming.DropAfterMs)
      .forEach(({ process, heartbeat }) => {
        this.origins.delete(process.bootId);
        this.dropped.set(process.bootId, { heartbeat, atMs: nowMs });
      });
    this.origins.forEach(({ entries, targets }) => {
      dropOlder(entries, nowMs - MembershipTiming.DropAfterMs);
      dropOlder(targets, nowMs - MembershipTiming.DropAfterMs);
    });
    [...this.dropped]
      .filter(([, { atMs }]) => nowMs - atMs > TOMBSTONE_MS)
      .forEach(([bootId]) => this.dropped.delete(bootId));
  }

  /** Registers an entry daemon that synced with this control daemon. */
  registerEntry(process: ProcessRef, load: EntryLoad, revision: number, nowMs: number): void {
    const { entries, heartbeat } = this.own;
    const rounded = {
      openRequests: quantise(load.openRequests),
      queued: quantise(load.queued),
      draining: load.draining,
    };
    const before = entries.get(process.bootId);
    const entry: ProcessEntry = { process, heartbeat, revision, load: rounded };
    if (before && sameEntry(before.value, entry) && nowMs - before.atMs < REFRESH_MS) return;
    entries.set(process.bootId, { stamp: heartbeat + 1, value: entry, atMs: nowMs });
  }

  /** Publishes what this process saw of a target; whether it differs from what was published. */
  publishTarget(item: TargetItem, nowMs: number): boolean {
    const { targets, heartbeat } = this.own;
    const before = targets.get(item.vm);
    const same = before !== undefined && sameTarget(before.value, item);
    if (same && nowMs - before.atMs < REFRESH_MS) return false;
    targets.set(item.vm, { stamp: heartbeat + 1, value: item, atMs: nowMs });
    return !same;
  }

  /** Withdraws a target that this process no longer probes; copies expire at the peers. */
  withdrawTarget(vm: string): void {
    this.own.targets.delete(vm);
  }

  /** Heartbeat of each known control daemon. */
  heartbeats(): Heartbeats {
    return Object.fromEntries([
      ...[...this.dropped].map(([bootId, { heartbeat }]) => [bootId, heartbeat] as const),
      ...[...this.origins].map(([bootId, { heartbeat }]) => [bootId, heartbeat] as const),
    ]);
  }

  /** What a holder of `held` lacks. */
  updatesSince(held: Heartbeats): OriginUpdate[] {
    return [...this.origins.values()]
      .filter(({ process, heartbeat }) => heartbeat > (held[process.bootId] ?? 0))
      .map((origin) => updateOf(origin, held[origin.process.bootId]));
  }

  /** What this process itself observed after the heartbeat that a peer holds. */
  ownUpdate(held: number | undefined): OriginUpdate {
    return updateOf(this.own, held);
  }

  /** Takes newer updates and returns the target items among them. */
  merge(updates: readonly OriginUpdate[], nowMs: number): MergedTarget[] {
    return updates.flatMap((update) => this.mergeOne(update, nowMs));
  }

  /** Control daemons heard of within the last 5 s, with this one. */
  liveControls(nowMs: number): ProcessRef[] {
    return [...this.origins.values()]
      .filter(
        ({ process, heardAt }) =>
          process.bootId === this.self.bootId || nowMs - heardAt <= MembershipTiming.SuspectAfterMs,
      )
      .map(({ process }) => process);
  }

  /** All known daemons of the failure domain. */
  processes(): ProcessEntry[] {
    const controls = [...this.origins.values()].map(({ process, heartbeat, revision }) => ({
      process,
      heartbeat,
      revision,
    }));
    return [...controls, ...this.entries()];
  }

  /** Entry daemons; the newest record of each. */
  entries(): ProcessEntry[] {
    const newest = new Map<string, Stamped<ProcessEntry>>();
    this.origins.forEach(({ entries }) =>
      entries.forEach((entry, bootId) => {
        if ((newest.get(bootId)?.atMs ?? -1) < entry.atMs) newest.set(bootId, entry);
      }),
    );
    return [...newest.values()].map(({ value }) => value);
  }

  /** Keeps the silence of a pause of this process from counting against its peers. */
  afterPause(durationMs: number): void {
    this.origins.forEach((record) => {
      const origin = record;
      origin.heardAt += durationMs;
      shift(origin.entries, durationMs);
      shift(origin.targets, durationMs);
    });
  }

  private mergeOne(update: OriginUpdate, nowMs: number): MergedTarget[] {
    const { bootId, heartbeat } = update;
    if (bootId === this.self.bootId) return [];
    if (heartbeat <= (this.dropped.get(bootId)?.heartbeat ?? 0)) return [];
    const known = this.origins.get(bootId);
    if (!known && !update.process) return [];
    if (known && heartbeat <= known.heartbeat) return [];
    const origin = known ?? newOrigin(update.process as ProcessRef, nowMs);
    this.origins.set(bootId, origin);
    this.dropped.delete(bootId);
    origin.heartbeat = heartbeat;
    origin.revision = update.revision;
    origin.heardAt = nowMs;
    update.entries?.forEach(([stamp, value]) =>
      origin.entries.set(value.process.bootId, { stamp, value, atMs: nowMs }),
    );
    update.targets?.forEach(([stamp, value]) =>
      origin.targets.set(value.vm, { stamp, value, atMs: nowMs }),
    );
    return (update.targets ?? []).map(([, item]) => ({ prober: bootId, item }));
  }
}

function newOrigin(process: ProcessRef, nowMs: number): Origin {
  return {
    process,
    heartbeat: 0,
    revision: 0,
    heardAt: nowMs,
    entries: new Map(),
    targets: new Map(),
  };
}

function updateOf(origin: Origin, held: number | undefined): OriginUpdate {
  const since = held ?? 0;
  const newer = <Value>(items: ReadonlyMap<string, Stamped<Value>>): [number, Value][] =>
    [...items.values()]
      // An item stamped for the heartbeat to come is sent with that one.
      .filter(({ stamp }) => stamp > since && stamp <= origin.heartbeat)
      .map(({ stamp, value }) => [stamp, value]);
  const { process, heartbeat, revision } = origin;
  const entries = newer(origin.entries);
  const targets = newer(origin.targets);
  return {
    bootId: process.bootId,
    heartbeat,
    revision,
    ...(since === 0 && { process }),
    ...(entries.length > 0 && { entries }),
    ...(targets.length > 0 && { targets }),
  };
}

function sameEntry(a: ProcessEntry, b: ProcessEntry): boolean {
  return a.revision === b.revision && JSON.stringify(a.load) === JSON.stringify(b.load);
}

function sameTarget(a: TargetItem, b: TargetItem): boolean {
  const facts = ({ services, leaving, failures, concurrency, models }: TargetItem): string =>
    JSON.stringify([services, leaving, failures, concurrency, models]);
  return (
    facts(a) === facts(b) &&
    near(a.running, b.running) &&
    near(a.queued, b.queued) &&
    near(a.waitMs, b.waitMs)
  );
}

function dropOlder<Value>(items: Map<string, Stamped<Value>>, limitMs: number): void {
  [...items].filter(([, { atMs }]) => atMs < limitMs).forEach(([name]) => items.delete(name));
}

function shift<Value>(items: Map<string, Stamped<Value>>, byMs: number): void {
  items.forEach((item, name) => items.set(name, { ...item, atMs: item.atMs + byMs }));
}
