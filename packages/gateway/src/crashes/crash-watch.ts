/**
 * Collects evidence about prompt segments that crash targets, exchanges it with the other gateways and
 * decides which requests are refused for it.
 */
import {
  CrashSuspects,
  rendezvousOrder,
  type CrashVerdict,
  type SuspectRow,
  type TargetRecord,
} from '@marjoramcart/core';
import type { ConnectionProbe, Logger, TimerService } from '@marjoramcart/runtime';
import type { CallHead } from '../ports/request-protocol.js';

/** Limit of requests of one target that are considered when it dies. */
const MAX_WITNESSES = 32;
const MAX_SEGMENTS = 16;
/** Longer ids are not tracked, which bounds the memory. */
const MAX_SEGMENT_ID_LENGTH = 128;
/** Rows in a regular message to another gateway. */
const MAX_GOSSIPED_ROWS = 8;

export interface CrashWatchDeps {
  readonly node: string;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Names of the other live gateways of all regions. */
  readonly otherGateways: () => readonly string[];
  readonly probe: (address: string) => Promise<ConnectionProbe>;
  readonly announce: (rows: readonly SuspectRow[]) => void;
}

export class CrashWatch {
  private readonly suspects = new CrashSuspects();

  /** Requests without a first byte whose connections broke, by target, until the target is probed. */
  private readonly unconfirmed = new Map<string, CallHead[]>();

  constructor(private readonly deps: CrashWatchDeps) {}

  /** Handles the loss of a connection on which a request had no first byte yet. */
  onLost(target: TargetRecord, head: CallHead): void {
    if (sharedSegments(head).length === 0) return;
    const waiting = this.unconfirmed.get(target.id);
    if (waiting) {
      if (waiting.length < MAX_WITNESSES) waiting.push(head);
      return;
    }
    this.unconfirmed.set(target.id, [head]);
    void this.confirm(target);
  }

  /** Handles a request that is answered. `firstByteAt` is monotonic ms. */
  onAnswered(head: CallHead, firstByteAt: number): void {
    const { timers, announce, log } = this.deps;
    const segments = sharedSegments(head);
    if (segments.length === 0) return;
    const rows = this.suspects.onAnswered(segments, firstByteAt, timers.now());
    if (rows.length === 0) return;
    log.info('prompt segments cleared', { id: head.id, segments: namesOf(rows) });
    announce(rows);
  }

  onSend(head: CallHead): void {
    this.suspects.onSend(sharedSegments(head), this.deps.timers.now());
  }

  /** Why a request is refused; undefined when it may run. */
  verdict(head: CallHead): CrashVerdict | undefined {
    if (this.suspects.size === 0) return undefined;
    return this.suspects.verdict(
      sharedSegments(head),
      (segment) => this.isTrialGateway(segment),
      this.deps.timers.now(),
    );
  }

  merge(rows: readonly SuspectRow[]): void {
    this.suspects.merge(rows, this.deps.timers.now());
  }

  /** Rows for a regular message to another gateway. */
  rows(): SuspectRow[] {
    return this.suspects.rows(MAX_GOSSIPED_ROWS, this.deps.timers.now());
  }

  private async confirm(target: TargetRecord): Promise<void> {
    const { probe, timers, log, announce } = this.deps;
    const result = await probe(target.address);
    const heads = this.unconfirmed.get(target.id) ?? [];
    this.unconfirmed.delete(target.id);
    // A connection can also be lost on the way, or be reset by a target that goes on.
    if (result !== 'refused') return;
    const incarnation = `${target.id} ${target.bornAt}`;
    const now = timers.now();
    const rows = heads.flatMap((head) =>
      this.suspects.onDeath(incarnation, head.id, sharedSegments(head), now),
    );
    const bySegment = new Map(rows.map((row) => [row.segment, row]));
    log.info('target died before it answered requests', {
      target: target.id,
      ids: heads.map(({ id }) => id),
      segments: bySegment.size,
    });
    announce([...bySegment.values()]);
  }

  /** Whether this gateway is the one of the fleet that tries a refused segment again. */
  private isTrialGateway(segment: string): boolean {
    const { node, otherGateways } = this.deps;
    return rendezvousOrder(segment, [node, ...otherGateways()])[0] === node;
  }
}

/** Ids of the segments that a request may share with others: all but the last. */
function sharedSegments({ prompt }: CallHead): string[] {
  return (prompt?.segments ?? [])
    .slice(0, -1)
    .slice(0, MAX_SEGMENTS)
    .map(({ id }) => id)
    .filter((id) => id.length <= MAX_SEGMENT_ID_LENGTH);
}

function namesOf(rows: readonly SuspectRow[]): string[] {
  return rows.map(({ segment }) => segment);
}
