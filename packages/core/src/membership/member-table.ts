/**
 * Daemons of one failure domain, replicated by gossip. Each control daemon is the origin of what it
 * observes: itself, its entries and the targets it probes. Its heartbeat is the version of all of
 * these, so a digest of heartbeats tells a peer which items are missing.
 */
import type {
  EntryLoad,
  Heartbeats,
  OriginUpdate,
  ProcessRecord,
  ProcessRef,
  GossipedTarget,
} from '../messages/messages.js';
import { MembershipTiming } from './membership-timing.js';
import { quantise } from './quantise.js';
import { equalLoad, isMinorEntryChange, isMinorTargetChange } from './same-item.js';

/**
 * A load figure that is near the published one is published after this time. Unchanged items are
 * repeated only while a peer of an earlier release is alive, whose copies expire; other peers take
 * a heartbeat as a sign that all items are unchanged.
 */
const REPUBLISH_AFTER_MS = 3000;
/** Heartbeats of dropped processes are kept, so that a late copy does not bring them back. */
const TOMBSTONE_MS = 60_000;

interface Stamped<Value> {
  readonly stamp: number;
  readonly value: Value;
  /** When the value was last seen or confirmed. */
  atMs: number;
  readonly publishedMs: number;
}

interface Origin {
  process: ProcessRef;
  heartbeat: number;
  revision: number;
  lastUpdateAt: number;
  /** Whether the origin's updates name their span. */
  sendsSpan: boolean;
  /** Withdrawals up to this heartbeat are forgotten; who holds less needs all items. */
  floor: number;
  readonly entries: Map<string, Stamped<ProcessRecord>>;
  readonly targets: Map<string, Stamped<GossipedTarget>>;
  readonly gone: Map<string, Stamped<string>>;
}

/** A target item that a merge brought, with the prober it came from. */
export interface MergedTarget {
  readonly prober: string;
  readonly item: GossipedTarget;
  /** Whether the item came before and the prober still holds it to be true. */
  readonly confirmed: boolean;
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
    this.own.lastUpdateAt = nowMs;
    [...this.origins.values()]
      .filter(({ lastUpdateAt: heardAt }) => nowMs - heardAt > MembershipTiming.DropAfterMs)
      .forEach(({ process, heartbeat }) => {
        this.origins.delete(process.bootId);
        this.dropped.set(process.bootId, { heartbeat, atMs: nowMs });
      });
    const limitMs = nowMs - MembershipTiming.DropAfterMs;
    this.origins.forEach((origin) => {
      const { entries, targets } = origin;
      const dropped = [...dropUnconfirmed(entries, limitMs), ...dropUnconfirmed(targets, limitMs)];
      if (origin === this.own) dropped.forEach((name) => this.withdraw(name, nowMs));
      forgetOldWithdrawals(origin, nowMs - TOMBSTONE_MS);
    });
    [...this.dropped]
      .filter(([, { atMs }]) => nowMs - atMs > TOMBSTONE_MS)
      .forEach(([bootId]) => this.dropped.delete(bootId));
  }

  /** Registers an entry daemon that synced with this control daemon. */
  registerEntry(process: ProcessRef, load: EntryLoad, revision: number, nowMs: number): boolean {
    const { entries, heartbeat } = this.own;
    const rounded = {
      openRequests: quantise(load.openRequests),
      queued: quantise(load.queued),
      draining: load.draining,
    };
    const before = entries.get(process.bootId);
    const entry: ProcessRecord = { process, heartbeat, revision, load: rounded };
    const same = before !== undefined && isMinorEntryChange(before.value, entry);
    this.own.gone.delete(process.bootId);
    if (same && !this.mustRepeat(before, nowMs)) before.atMs = nowMs;
    else entries.set(process.bootId, stamped(heartbeat + 1, entry, nowMs));
    return load.draining && before?.value.load?.draining === false;
  }

  /** Publishes what this process saw of a target; whether it differs from what was published. */
  publishTarget(item: GossipedTarget, nowMs: number): boolean {
    const { targets, heartbeat } = this.own;
    const before = targets.get(item.vm);
    const same = before !== undefined && isMinorTargetChange(before.value, item);
    this.own.gone.delete(item.vm);
    const left = same && (equalLoad(before.value, item) || this.publishedRecently(before, nowMs));
    if (left && !this.mustRepeat(before, nowMs)) before.atMs = nowMs;
    else targets.set(item.vm, stamped(heartbeat + 1, item, nowMs));
    return !same;
  }

  /** Withdraws a target that this process no longer probes. */
  withdrawTarget(vm: string, nowMs: number): void {
    if (this.own.targets.delete(vm)) this.withdraw(vm, nowMs);
  }

  /** Heartbeat of each known control daemon. */
  heartbeats(): Heartbeats {
    return Object.fromEntries([...this.origins].map(([id, { heartbeat }]) => [id, heartbeat]));
  }

  /** Boot ids of the known control daemons, in order. */
  bootIds(): string[] {
    return [...this.origins.keys()].sort();
  }

  /** What a holder of `held` lacks. */
  updatesSince(held: Heartbeats): OriginUpdate[] {
    return [...this.origins.values()]
      .filter(({ process, heartbeat }) => heartbeat > (held[process.bootId] ?? 0))
      .map((origin) => updateOf(origin, held[origin.process.bootId]));
  }

  /** What this process itself observed after the heartbeat that a peer holds. */
  localUpdate(held: number | undefined): OriginUpdate {
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
        ({ process, lastUpdateAt: heardAt }) =>
          process.bootId === this.self.bootId || nowMs - heardAt <= MembershipTiming.SuspectAfterMs,
      )
      .map(({ process }) => process);
  }

  /** All known daemons of the failure domain. */
  processes(): ProcessRecord[] {
    const controls = [...this.origins.values()].map(({ process, heartbeat, revision }) => ({
      process,
      heartbeat,
      revision,
    }));
    return [...controls, ...this.entries()];
  }

  /**
   * Entry daemons; the newest record of each. An entry that synced with another control daemon for
   * a while has a record there that is confirmed for some seconds more but no longer changes.
   */
  entries(): ProcessRecord[] {
    const newest = new Map<string, Stamped<ProcessRecord>>();
    this.origins.forEach(({ entries }) =>
      entries.forEach((entry, bootId) => {
        const before = newest.get(bootId);
        if (!before || isNewer(entry, before)) newest.set(bootId, entry);
      }),
    );
    return [...newest.values()].map(({ value }) => value);
  }

  /** Keeps the silence of a pause of this process from counting against its peers. */
  afterPause(durationMs: number): void {
    this.origins.forEach((record) => {
      const origin = record;
      origin.lastUpdateAt += durationMs;
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
    // Changes between what is held and the start of the update would be missed for good.
    const { span } = update;
    const whole = update.process !== undefined;
    if (span !== undefined && !whole && heartbeat - span > origin.heartbeat) return [];
    if (whole) clear(origin);
    origin.sendsSpan = span !== undefined;
    if (whole) origin.floor = update.floor ?? 0;
    origin.heartbeat = heartbeat;
    origin.revision = update.revision;
    origin.lastUpdateAt = nowMs;
    return this.takeItems(origin, update, nowMs);
  }

  private takeItems(origin: Origin, update: OriginUpdate, nowMs: number): MergedTarget[] {
    const { entries, targets, gone } = origin;
    update.gone?.forEach(([stamp, name]) => {
      entries.delete(name);
      targets.delete(name);
      gone.set(name, stamped(stamp, name, nowMs));
    });
    update.entries?.forEach(([stamp, value]) =>
      entries.set(value.process.bootId, stamped(stamp, value, nowMs)),
    );
    update.targets?.forEach(([stamp, value]) =>
      targets.set(value.vm, stamped(stamp, value, nowMs)),
    );
    const sent = update.targets ?? [];
    const changed = new Set(sent.map(([, { vm }]) => vm));
    const unchanged = origin.sendsSpan ? [...targets.values()] : [];
    if (origin.sendsSpan) [...entries.values(), ...unchanged].forEach(confirmAt(nowMs));
    const prober = update.bootId;
    return [
      ...sent.map(([, item]) => ({ prober, item, confirmed: false })),
      ...unchanged
        .filter(({ value }) => !changed.has(value.vm))
        .map(({ value }) => ({ prober, item: value, confirmed: true })),
    ];
  }

  private withdraw(name: string, nowMs: number): void {
    this.own.gone.set(name, stamped(this.own.heartbeat + 1, name, nowMs));
  }

  private publishedRecently({ publishedMs }: Stamped<unknown>, nowMs: number): boolean {
    return nowMs - publishedMs < REPUBLISH_AFTER_MS;
  }

  private mustRepeat(item: Stamped<unknown>, nowMs: number): boolean {
    if (this.publishedRecently(item, nowMs)) return false;
    const limitMs = nowMs - MembershipTiming.DropAfterMs;
    return [...this.origins.values()].some(({ sendsSpan: spans, lastUpdateAt: heardAt }) => !spans && heardAt >= limitMs);
  }
}

/** An entry never stops draining, so a record that shows it is the newer one. */
function isNewer(a: Stamped<ProcessRecord>, b: Stamped<ProcessRecord>): boolean {
  const [drainsA, drainsB] = [a, b].map(({ value }) => value.load?.draining === true);
  return drainsA === drainsB ? a.publishedMs > b.publishedMs : drainsA === true;
}

function stamped<Value>(stamp: number, value: Value, nowMs: number): Stamped<Value> {
  return { stamp, value, atMs: nowMs, publishedMs: nowMs };
}

function confirmAt(nowMs: number): (item: Stamped<unknown>) => void {
  return (stampedItem) => {
    const item = stampedItem;
    item.atMs = nowMs;
  };
}

function clear({ entries, targets, gone }: Origin): void {
  [entries, targets, gone].forEach((items) => items.clear());
}

function newOrigin(process: ProcessRef, nowMs: number): Origin {
  return {
    process,
    heartbeat: 0,
    revision: 0,
    lastUpdateAt: nowMs,
    sendsSpan: true,
    floor: 0,
    entries: new Map(),
    targets: new Map(),
    gone: new Map(),
  };
}

function updateOf(origin: Origin, held: number | undefined): OriginUpdate {
  // Withdrawals up to the floor are forgotten, so that a holder of less is sent all items.
  const since = held === undefined || held < origin.floor ? 0 : held;
  const newer = <Value>(items: ReadonlyMap<string, Stamped<Value>>): [number, Value][] =>
    [...items.values()]
      // An item stamped for the heartbeat to come is sent with that one.
      .filter(({ stamp }) => stamp > since && stamp <= origin.heartbeat)
      .map(({ stamp, value }) => [stamp, value]);
  const { process, heartbeat, revision } = origin;
  const entries = newer(origin.entries);
  const targets = newer(origin.targets);
  const gone = newer(origin.gone);
  return {
    bootId: process.bootId,
    heartbeat,
    revision,
    ...(since === 0 && { process, ...(origin.floor > 0 && { floor: origin.floor }) }),
    ...(origin.sendsSpan && { span: heartbeat - since }),
    ...(entries.length > 0 && { entries }),
    ...(targets.length > 0 && { targets }),
    ...(gone.length > 0 && { gone }),
  };
}

/** Drops what was not confirmed since `limitMs` and returns its names. */
function dropUnconfirmed<Value>(items: Map<string, Stamped<Value>>, limitMs: number): string[] {
  const old = [...items].filter(([, { atMs }]) => atMs < limitMs).map(([name]) => name);
  old.forEach((name) => items.delete(name));
  return old;
}

function forgetOldWithdrawals(forgetting: Origin, limitMs: number): void {
  const origin = forgetting;
  [...origin.gone.values()]
    .filter(({ atMs }) => atMs < limitMs)
    .forEach(({ stamp, value }) => {
      origin.floor = Math.max(origin.floor, stamp);
      origin.gone.delete(value);
    });
}

function shift<Value>(items: Map<string, Stamped<Value>>, byMs: number): void {
  items.forEach((item, name) => items.set(name, { ...item, atMs: item.atMs + byMs }));
}
