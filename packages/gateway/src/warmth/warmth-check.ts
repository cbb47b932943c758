/**
 * Task that asks targets how long they stay cold while this gateway is out of touch. Their entries in the
 * source and the word of other gateways, which tell it otherwise, do not come then.
 */
import { rendezvousOrder } from '@marjoramcart/core';
import type { Logger, Task, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import { ColdReason, type TargetEntry } from '../state/target-entry.js';
import type { HealthPoller } from './health-poller.js';
import { Contact, type Touch } from './touch.js';

const CHECK_INTERVAL_MS = 200;
/** A target is asked again after this time. */
const ASK_AGAIN_MS = 400;
/** Bound of the targets that are asked at once. */
const MAX_ASKED = 64;

/** What a target said of its warmth. */
export interface WarmthRow {
  readonly target: string;
  /** Start time that it belongs to, Unix ms; 0 if unknown. */
  readonly bornAt: number;
  /** 0 if the target is warm. */
  readonly coldForMs: number;
}

export interface WarmthCheckDeps {
  readonly node: string;
  readonly state: Pick<
    GatewayState,
    'localTargets' | 'mayUse' | 'service' | 'sourceAgeMs' | 'target'
  >;
  readonly touch: Pick<Touch, 'contact'>;
  readonly poller: Pick<HealthPoller, 'coldForMs'>;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Names of the gateways of the region that are heard now, this one included. */
  readonly gateways: () => readonly string[];
  /** Tells the other gateways of the region. */
  readonly announce: (rows: readonly WarmthRow[]) => void;
}

export class WarmthCheck implements Task {
  readonly name = 'warmth';

  private contact: Contact = Contact.InTouch;

  private asking = 0;

  /** When each target was last asked, monotonic ms; empty while this gateway is in touch. */
  private readonly askedAt = new Map<string, number>();

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: WarmthCheckDeps) {}

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(CHECK_INTERVAL_MS, () => this.check());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /** Handles what another gateway of the region was told by targets. */
  onRows(rows: readonly WarmthRow[]): void {
    const { state, timers } = this.deps;
    rows.forEach(({ target, bornAt, coldForMs }) => {
      const entry = state.target(target);
      if (entry?.record.bornAt === bornAt) this.apply(entry, coldForMs, timers.now());
    });
  }

  private check(): void {
    const { touch, timers, state } = this.deps;
    const now = timers.now();
    const contact = touch.contact(now);
    if (contact !== this.contact) this.onChange(contact);
    if (contact === Contact.InTouch) return;
    const targets = state
      .localTargets()
      .filter(({ record }) => (state.service(record.service)?.coldRequestsPerS ?? 0) > 0);
    targets.forEach(({ warmth }) => warmth.doubt(now, contact === Contact.Alone));
    this.due(targets, now).forEach((entry) => {
      void this.ask(entry);
    });
  }

  private onChange(contact: Contact): void {
    const { state, log } = this.deps;
    log.info('contact with the source and other gateways changed', {
      contact,
      before: this.contact,
      source_age_ms: Math.round(state.sourceAgeMs),
    });
    this.contact = contact;
    if (contact !== Contact.InTouch) return;
    this.askedAt.clear();
    state.localTargets().forEach(({ warmth }) => warmth.trust());
  }

  /** Targets to ask now: those with requests of this gateway first, then those asked longest ago. */
  private due(targets: readonly TargetEntry[], now: number): TargetEntry[] {
    const { state, node, gateways } = this.deps;
    const names = gateways();
    const askedAt = ({ id }: TargetEntry): number => this.askedAt.get(id) ?? -Infinity;
    const isIdle = ({ work }: TargetEntry): number => (work.localWork.requests > 0 ? 0 : 1);
    return targets
      .filter((entry) => state.mayUse(entry) && now - askedAt(entry) >= ASK_AGAIN_MS)
      .filter(({ id }) => rendezvousOrder(id, names)[0] === node)
      .sort((a, b) => isIdle(a) - isIdle(b) || askedAt(a) - askedAt(b))
      .slice(0, MAX_ASKED - this.asking);
  }

  private async ask(entry: TargetEntry): Promise<void> {
    const { state, poller, timers, announce } = this.deps;
    const { id, service, bornAt } = entry.record;
    const path = state.service(service)?.healthPath;
    if (path === undefined) return;
    const askedAt = timers.now();
    this.askedAt.set(id, askedAt);
    this.asking += 1;
    const coldForMs = await poller.coldForMs(entry, path);
    this.asking -= 1;
    const isCurrent = state.target(id) === entry && entry.record.bornAt === bornAt;
    if (coldForMs === undefined || !isCurrent) return;
    this.apply(entry, coldForMs, askedAt);
    announce([{ target: id, bornAt, coldForMs }]);
  }

  private apply(entry: TargetEntry, coldForMs: number, askedAt: number): void {
    const { timers, log } = this.deps;
    const now = timers.now();
    if (coldForMs === 0) entry.warmth.confirm(askedAt);
    else if (entry.extendCold(now + coldForMs, ColdReason.Said, now)) {
      log.info('target says that it is cold', { target: entry.id, cold_ms: Math.round(coldForMs) });
    }
  }
}
