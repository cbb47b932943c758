/**
 * Task that exchanges what gateways of a region have seen of the speed of targets, and logs targets
 * whose speed changes class. Each gateway sends deviations to the one that polls a target, which tells
 * the region: in its load reports, or in updates of its own for targets without reports.
 */
import {
  ReportPollerAssignment,
  SMALL_REGION_MAX_GATEWAYS,
  SpeedClass,
  speedClassOf,
} from '@marjoramcart/core';
import type { Logger, Metrics, Task, TimerService } from '@marjoramcart/runtime';
import type { SpeedRow } from '../peers/target-update.js';
import type { Router } from '../routing/router.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';

const INTERVAL_MS = 500;
/** Observations that a gateway sends in one interval; more targets take turns. */
const MAX_OBSERVATIONS = 8;
/** Rows about targets without reports that a gateway sends to the region in one interval. */
const MAX_COLLECTED = 8;
/** Such a factor is told again when it has changed by this much, or after this time. */
const CHANGED_FACTOR = 1.2;
const RETOLD_MS = 1000;
/** Changes of class that are logged one by one in an interval; the rest is in the metric only. */
const MAX_LOGGED = 4;

export interface SpeedTaskDeps {
  readonly node: string;
  readonly state: Pick<GatewayState, 'localTargets' | 'usableEngines'>;
  readonly router: Pick<
    Router,
    'takeCollectedSpeed' | 'takeSpeedObservation' | 'speedFactorsOf' | 'usableSlotsOf'
  >;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Names of the live gateways of the region that reach targets, this one included. */
  readonly gateways: () => readonly string[];
  /** Sends rows to one gateway of the region, or to all of them. */
  readonly send: (rows: readonly SpeedRow[], node: string | undefined) => void;
}

export class SpeedTask implements Task {
  readonly name = 'speeds';

  private readonly assignment = new ReportPollerAssignment();

  private readonly classes = new Map<string, SpeedClass>();

  /** Classes that were found once; a change counts when it is found twice in a row. */
  private readonly found = new Map<string, SpeedClass>();

  /** What was last told to the region about a target. */
  private readonly told = new Map<string, { readonly factor: number; readonly at: number }>();

  private turn = 0;

  private readonly changes;

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: SpeedTaskDeps) {
    this.changes = deps.metrics.counter(
      'target_speed_changes_total',
      'Targets whose learned speed changed to a class.',
      ['class'],
    );
    const gauge = deps.metrics.gauge('targets_by_speed', 'Targets by class of learned speed.', [
      'class',
    ]);
    Object.assign(gauge, {
      collect: () =>
        Object.values(SpeedClass).forEach((speedClass) => {
          const count = [...this.classes.values()].filter((other) => other === speedClass).length;
          gauge.set({ class: speedClass }, count);
        }),
    });
  }

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(INTERVAL_MS, () => this.run());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  private run(): void {
    const { state, gateways } = this.deps;
    const local = state.localTargets();
    this.classify(local);
    const names = gateways();
    if (names.length <= SMALL_REGION_MAX_GATEWAYS) return;
    const engines = state.usableEngines();
    const engineIds = new Set(engines.map(({ id }) => id));
    const plain = local.filter(({ id }) => !engineIds.has(id));
    const observations = new Map<string, SpeedRow[]>();
    this.turn += 1;
    let left = MAX_OBSERVATIONS;
    [engines, plain].forEach((entries) => {
      const pollerOf = this.assignment.pollers(names, entries.length);
      inTurn(entries, this.turn).forEach((entry) => {
        const poller = pollerOf(entry.id);
        if (poller === undefined || poller === this.deps.node || left === 0) return;
        const row = this.observationOf(entry);
        if (!row) return;
        left -= 1;
        observations.set(poller, [...(observations.get(poller) ?? []), row]);
      });
    });
    observations.forEach((rows, node) => this.deps.send(rows, node));
    this.tellCollected(plain, names);
  }

  private observationOf(entry: TargetEntry): SpeedRow | undefined {
    const observation = this.deps.router.takeSpeedObservation(entry);
    const { id, bornAt } = entry.record;
    return observation && { target: id, bornAt, ...observation };
  }

  /** Tells the region the factors of targets without load reports that this gateway collects. */
  private tellCollected(plain: readonly TargetEntry[], names: readonly string[]): void {
    const { node, router, send, timers } = this.deps;
    const pollerOf = this.assignment.pollers(names, plain.length);
    const rows = inTurn(plain, this.turn)
      .filter(({ id }) => pollerOf(id) === node)
      .flatMap((entry): SpeedRow[] => {
        const factor = router.takeCollectedSpeed(entry);
        const { id, bornAt } = entry.record;
        return factor === undefined || !this.isNews(id, factor)
          ? []
          : [{ target: id, bornAt, factor }];
      })
      .slice(0, MAX_COLLECTED);
    const at = timers.now();
    rows.forEach(({ target, factor }) => this.told.set(target, { factor, at }));
    if (rows.length > 0) send(rows, undefined);
  }

  private isNews(target: string, factor: number): boolean {
    const told = this.told.get(target);
    if (!told || this.deps.timers.now() - told.at >= RETOLD_MS) return true;
    return Math.max(factor / told.factor, told.factor / factor) >= CHANGED_FACTOR;
  }

  private classify(entries: readonly TargetEntry[]): void {
    const listed = new Set(entries.map(({ id }) => id));
    [this.classes, this.found, this.told].forEach((map) =>
      [...map.keys()].filter((id) => !listed.has(id)).forEach((id) => map.delete(id)),
    );
    let logged = 0;
    entries.forEach((entry) => {
      const before = this.classes.get(entry.id) ?? SpeedClass.Normal;
      const { relative } = this.deps.router.speedFactorsOf(entry);
      const next = speedClassOf(relative, before);
      const isConfirmed = this.found.get(entry.id) === next;
      this.found.set(entry.id, next);
      if (!this.classes.has(entry.id)) this.classes.set(entry.id, before);
      if (next === before || !isConfirmed) return;
      this.classes.set(entry.id, next);
      this.changes.inc({ class: next });
      logged += 1;
      if (logged > MAX_LOGGED) return;
      this.deps.log.info('learned speed of target changed', {
        target: entry.id,
        service: entry.record.service,
        class: next,
        before,
        factor: Number(relative.toFixed(2)),
        slots: entry.record.slots,
        useful_slots: Math.round(this.deps.router.usableSlotsOf(entry)),
      });
    });
  }
}

/** Begins with another entry each time, so that a limit on their number leaves none out for good. */
function inTurn<Item>(items: readonly Item[], turn: number): readonly Item[] {
  const first = items.length === 0 ? 0 : (turn * MAX_OBSERVATIONS) % items.length;
  return [...items.slice(first), ...items.slice(0, first)];
}
