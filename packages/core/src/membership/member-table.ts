/**
 * Members of one failure domain, replicated by gossip. Each control daemon is the origin of what it
 * observes: itself, its entries and the targets it probes. Its heartbeat counter is the version of
 * all of these items, so peers compare heartbeats to find the items that are missing.
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
import { equalLoad, isMinorEntryChange, isMinorTargetChange } from './minor-change.js';

/**
 * Minor changes of load figures are published after this time. Unchanged items are repeated only
 * while a peer of an earlier release is alive, whose copies would expire; other peers treat each
 * heartbeat as confirmation of all unchanged items.
 */
const REPUBLISH_AFTER_MS = 3000;
/** Heartbeats of dropped processes are kept, so that a delayed copy does not bring them back. */
const TOMBSTONE_RETENTION_MS = 60_000;

interface Versioned<Value> {
  /** Heartbeat of the origin at which the value last changed. */
  readonly changedInHeartbeat: number;
  readonly value: Value;
  /** When the value was last seen or confirmed. */
  confirmedAtMs: number;
  readonly publishedAtMs: number;
}

interface Origin {
  process: ProcessRef;
  heartbeat: number;
  revision: number;
  lastUpdateAt: number;
  /** Whether the origin's updates have a span; those of earlier releases have none. */
  sendsSpan: boolean;
  /** Withdrawals up to this heartbeat are forgotten; peers with a lower one need all items. */
  forgottenUpToHeartbeat: number;
  readonly entries: Map<string, Versioned<ProcessRecord>>;
  readonly targets: Map<string, Versioned<GossipedTarget>>;
  /** Withdrawn entries and targets, by name. */
  readonly withdrawn: Map<string, Versioned<string>>;
}

/** A target received by a merge, with the prober that observed it. */
export interface MergedTarget {
  readonly prober: string;
  readonly item: GossipedTarget;
  /** Whether the item was received earlier and the prober confirmed it as unchanged. */
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

  /** Starts the next heartbeat and drops daemons and items that were not confirmed for too long. */
  tick(revision: number, nowMs: number): void {
    this.own.heartbeat += 1;
    this.own.revision = revision;
    this.own.lastUpdateAt = nowMs;
    [...this.origins.values()]
      .filter(({ lastUpdateAt }) => nowMs - lastUpdateAt > MembershipTiming.DropAfterMs)
      .forEach(({ process, heartbeat }) => {
        this.origins.delete(process.bootId);
        this.dropped.set(process.bootId, { heartbeat, atMs: nowMs });
      });
    const cutoffMs = nowMs - MembershipTiming.DropAfterMs;
    this.origins.forEach((origin) => {
      const { entries, targets } = origin;
      const dropped = [
        ...dropUnconfirmed(entries, cutoffMs),
        ...dropUnconfirmed(targets, cutoffMs),
      ];
      if (origin === this.own) dropped.forEach((name) => this.withdraw(name, nowMs));
      forgetOldWithdrawals(origin, nowMs - TOMBSTONE_RETENTION_MS);
    });
    [...this.dropped]
      .filter(([, { atMs }]) => nowMs - atMs > TOMBSTONE_RETENTION_MS)
      .forEach(([bootId]) => this.dropped.delete(bootId));
  }

  /** Registers an entry daemon that synced with this daemon; returns whether it starts to drain. */
  registerEntry(process: ProcessRef, load: EntryLoad, revision: number, nowMs: number): boolean {
    const { entries, heartbeat } = this.own;
    const rounded = {
      openRequests: quantise(load.openRequests),
      queued: quantise(load.queued),
      draining: load.draining,
    };
    const before = entries.get(process.bootId);
    const entry: ProcessRecord = { process, heartbeat, revision, load: rounded };
    const isMinor = before !== undefined && isMinorEntryChange(before.value, entry);
    this.own.withdrawn.delete(process.bootId);
    if (isMinor && !this.mustRepeat(before, nowMs)) before.confirmedAtMs = nowMs;
    else entries.set(process.bootId, versioned(heartbeat + 1, entry, nowMs));
    return load.draining && before?.value.load?.draining === false;
  }

  /** Publishes this process's observation of a target; false if it is at most a minor change. */
  publishTarget(item: GossipedTarget, nowMs: number): boolean {
    const { targets, heartbeat } = this.own;
    const before = targets.get(item.vm);
    const isMinor = before !== undefined && isMinorTargetChange(before.value, item);
    this.own.withdrawn.delete(item.vm);
    const canWait =
      isMinor && (equalLoad(before.value, item) || this.publishedRecently(before, nowMs));
    if (canWait && !this.mustRepeat(before, nowMs)) before.confirmedAtMs = nowMs;
    else targets.set(item.vm, versioned(heartbeat + 1, item, nowMs));
    return !isMinor;
  }

  /** Withdraws a target that this process no longer probes. */
  withdrawTarget(vm: string, nowMs: number): void {
    if (this.own.targets.delete(vm)) this.withdraw(vm, nowMs);
  }

  /** Heartbeat of each known control daemon. */
  heartbeats(): Heartbeats {
    return Object.fromEntries([...this.origins].map(([id, { heartbeat }]) => [id, heartbeat]));
  }

  /** Boot ids of the known control daemons, sorted. */
  bootIds(): string[] {
    return [...this.origins.keys()].sort();
  }

  /** Updates that a peer needs that has the heartbeats `held`. */
  updatesSince(held: Heartbeats): OriginUpdate[] {
    return [...this.origins.values()]
      .filter(({ process, heartbeat }) => heartbeat > (held[process.bootId] ?? 0))
      .map((origin) => updateOf(origin, held[origin.process.bootId]));
  }

  /** Observations of this process after the heartbeat that a peer has. */
  localUpdate(held: number | undefined): OriginUpdate {
    return updateOf(this.own, held);
  }

  /** Stores newer updates and returns the targets that they change or confirm. */
  merge(updates: readonly OriginUpdate[], nowMs: number): MergedTarget[] {
    return updates.flatMap((update) => this.mergeOne(update, nowMs));
  }

  /** Control daemons with a heartbeat within the last 5 s, including this one. */
  liveControls(nowMs: number): ProcessRef[] {
    return [...this.origins.values()]
      .filter(
        ({ process, lastUpdateAt }) =>
          process.bootId === this.self.bootId ||
          nowMs - lastUpdateAt <= MembershipTiming.LivenessTimeoutMs,
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
   * The newest record of each entry daemon. After an entry switches to another control daemon, the
   * previous one keeps confirming an outdated record for some seconds.
   */
  entries(): ProcessRecord[] {
    const newest = new Map<string, Versioned<ProcessRecord>>();
    this.origins.forEach(({ entries }) =>
      entries.forEach((entry, bootId) => {
        const before = newest.get(bootId);
        if (!before || isNewer(entry, before)) newest.set(bootId, entry);
      }),
    );
    return [...newest.values()].map(({ value }) => value);
  }

  /** Extends all timeouts of peers and items by the duration of a pause of this process. */
  afterPause(durationMs: number): void {
    this.origins.forEach((record) => {
      const origin = record;
      origin.lastUpdateAt += durationMs;
      extendExpiry(origin.entries, durationMs);
      extendExpiry(origin.targets, durationMs);
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
    // An update that starts after the known heartbeat would skip the changes in between.
    const { span } = update;
    const complete = update.process !== undefined;
    if (span !== undefined && !complete && heartbeat - span > origin.heartbeat) return [];
    if (complete) clear(origin);
    origin.sendsSpan = span !== undefined;
    if (complete) origin.forgottenUpToHeartbeat = update.floor ?? 0;
    origin.heartbeat = heartbeat;
    origin.revision = update.revision;
    origin.lastUpdateAt = nowMs;
    return this.storeItems(origin, update, nowMs);
  }

  private storeItems(origin: Origin, update: OriginUpdate, nowMs: number): MergedTarget[] {
    const { entries, targets, withdrawn: gone } = origin;
    update.gone?.forEach(([changedInHeartbeat, name]) => {
      entries.delete(name);
      targets.delete(name);
      gone.set(name, versioned(changedInHeartbeat, name, nowMs));
    });
    update.entries?.forEach(([changedInHeartbeat, value]) =>
      entries.set(value.process.bootId, versioned(changedInHeartbeat, value, nowMs)),
    );
    update.targets?.forEach(([changedInHeartbeat, value]) =>
      targets.set(value.vm, versioned(changedInHeartbeat, value, nowMs)),
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
    this.own.withdrawn.set(name, versioned(this.own.heartbeat + 1, name, nowMs));
  }

  private publishedRecently(
    { publishedAtMs: publishedMs }: Versioned<unknown>,
    nowMs: number,
  ): boolean {
    return nowMs - publishedMs < REPUBLISH_AFTER_MS;
  }

  private mustRepeat(item: Versioned<unknown>, nowMs: number): boolean {
    if (this.publishedRecently(item, nowMs)) return false;
    const cutoffMs = nowMs - MembershipTiming.DropAfterMs;
    return [...this.origins.values()].some(
      ({ sendsSpan, lastUpdateAt }) => !sendsSpan && lastUpdateAt >= cutoffMs,
    );
  }
}

/** An entry never stops draining, so a draining record is newer than one that is not. */
function isNewer(a: Versioned<ProcessRecord>, b: Versioned<ProcessRecord>): boolean {
  const [drainsA, drainsB] = [a, b].map(({ value }) => value.load?.draining === true);
  return drainsA === drainsB ? a.publishedAtMs > b.publishedAtMs : drainsA === true;
}

function versioned<Value>(
  changedInHeartbeat: number,
  value: Value,
  nowMs: number,
): Versioned<Value> {
  return {
    changedInHeartbeat: changedInHeartbeat,
    value,
    confirmedAtMs: nowMs,
    publishedAtMs: nowMs,
  };
}

function confirmAt(nowMs: number): (item: Versioned<unknown>) => void {
  return (versionedItem) => {
    const item = versionedItem;
    item.confirmedAtMs = nowMs;
  };
}

function clear({ entries, targets, withdrawn: gone }: Origin): void {
  [entries, targets, gone].forEach((items) => items.clear());
}

function newOrigin(process: ProcessRef, nowMs: number): Origin {
  return {
    process,
    heartbeat: 0,
    revision: 0,
    lastUpdateAt: nowMs,
    sendsSpan: true,
    forgottenUpToHeartbeat: 0,
    entries: new Map(),
    targets: new Map(),
    withdrawn: new Map(),
  };
}

function updateOf(origin: Origin, held: number | undefined): OriginUpdate {
  // Withdrawals up to the floor are forgotten, so peers with a lower heartbeat get all items.
  const since = held === undefined || held < origin.forgottenUpToHeartbeat ? 0 : held;
  const newer = <Value>(items: ReadonlyMap<string, Versioned<Value>>): [number, Value][] =>
    [...items.values()]
      // Items stamped with the next heartbeat are sent together with it.
      .filter(
        ({ changedInHeartbeat: changedInHeartbeat }) =>
          changedInHeartbeat > since && changedInHeartbeat <= origin.heartbeat,
      )
      .map(({ changedInHeartbeat: changedInHeartbeat, value }) => [changedInHeartbeat, value]);
  const { process, heartbeat, revision } = origin;
  const entries = newer(origin.entries);
  const targets = newer(origin.targets);
  const gone = newer(origin.withdrawn);
  return {
    bootId: process.bootId,
    heartbeat,
    revision,
    ...(since === 0 && {
      process,
      ...(origin.forgottenUpToHeartbeat > 0 && { floor: origin.forgottenUpToHeartbeat }),
    }),
    ...(origin.sendsSpan && { span: heartbeat - since }),
    ...(entries.length > 0 && { entries }),
    ...(targets.length > 0 && { targets }),
    ...(gone.length > 0 && { gone }),
  };
}

/** Drops items that were not confirmed since `limitMs` and returns their names. */
function dropUnconfirmed<Value>(items: Map<string, Versioned<Value>>, cutoffMs: number): string[] {
  const old = [...items]
    .filter(([, { confirmedAtMs: atMs }]) => atMs < cutoffMs)
    .map(([name]) => name);
  old.forEach((name) => items.delete(name));
  return old;
}

function forgetOldWithdrawals(changedOrigin: Origin, cutoffMs: number): void {
  const origin = changedOrigin;
  [...origin.withdrawn.values()]
    .filter(({ confirmedAtMs: atMs }) => atMs < cutoffMs)
    .forEach(({ changedInHeartbeat: changedInHeartbeat, value }) => {
      origin.forgottenUpToHeartbeat = Math.max(origin.forgottenUpToHeartbeat, changedInHeartbeat);
      origin.withdrawn.delete(value);
    });
}

function extendExpiry<Value>(items: Map<string, Versioned<Value>>, byMs: number): void {
  items.forEach((item, name) =>
    items.set(name, { ...item, confirmedAtMs: item.confirmedAtMs + byMs }),
  );
}
