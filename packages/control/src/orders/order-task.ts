/**
 * Compares the models of each assigned engine with the placement and sends orders to load or unload
 * models until both agree.
 */
import {
  FAILED_LOAD_RETRY_MS,
  GapTracker,
  WeightLoadLimiter,
  ORDER_VALIDITY_MS,
  OrderTracker,
  domainPermits,
  findGaps,
  isOrderSender,
  weightLoadTimeMs,
  mayReceiveOrder,
  nextStep,
  placeModels,
  placementGroups,
  revisionOfFencing,
  type ConfigView,
  type DomainEngine,
  type DomainPermits,
  type EngineOrder,
  type ObservedEngine,
  type Placement,
  type PlacementGroup,
  type TargetState,
  type VmRecord,
} from '@marjoramcart/core';
import type { Logger, Task } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ControlState } from '../control-state.js';
import { observedEngine } from '../probes/load-report.js';
import type { TargetClient } from '../probes/target-client.js';

const PLAN_INTERVAL_MS = 1000;
/**
 * Two rounds after a pause without orders: if any engine got an order of a newer revision meanwhile,
 * that is seen before this daemon sends an outdated order to another engine.
 */
const OBSERVE_AFTER_PAUSE_MS = 2500;
/** Role and adapters are not gossiped, so engines that seem to need no order are observed as well. */
const OBSERVE_INTERVAL_MS = 10_000;

export interface OrderTaskOptions {
  readonly state: ControlState;
  readonly client: TargetClient;
  readonly metrics: ControlMetrics;
  readonly log: Logger;
}

/** Input of one planning round. */
interface Plan {
  readonly cfg: ConfigView;
  readonly groups: readonly PlacementGroup[];
  readonly placement: Placement;
  readonly engines: readonly DomainEngine[];
  readonly permits: DomainPermits;
  readonly states: readonly TargetState[];
}

/** A placement with the configuration and targets that it was computed from. */
interface CachedPlacement extends Pick<Plan, 'cfg' | 'groups' | 'placement'> {
  readonly listed: readonly VmRecord[];
}

export class OrderTask implements Task {
  readonly name = 'orders';

  private readonly orderTracker = new OrderTracker();

  private readonly loadLimiter = new WeightLoadLimiter();

  private readonly gaps = new GapTracker();

  /** Time at which this daemon first saw a failed load, by target. */
  private readonly failedSince = new Map<string, number>();

  /** Time at which this task last observed each target. */
  private readonly lastObservedAt = new Map<string, number>();

  private readonly inProgress = new Set<string>();

  private cachedPlacement: CachedPlacement | undefined;

  /** Highest revision of an order that an engine of the failure domain has accepted. */
  private highestOrderedRevision = 0;

  /** Until this time engines are only observed, since state from before a pause may be outdated. */
  private observeOnlyUntil = 0;

  private readonly log: Logger;

  private unsubscribe = (): void => {};

  constructor(private readonly options: OrderTaskOptions) {
    this.log = options.log.child('orders');
    const { timers } = options.state;
    timers.onPause(() => this.afterPause());
  }

  start(): Promise<void> {
    const { timers } = this.options.state;
    this.unsubscribe = timers.every(PLAN_INTERVAL_MS, () => {
      void this.round();
    });
    return Promise.resolve();
  }

  private afterPause(): void {
    const nowMs = this.options.state.timers.now();
    this.orderTracker.discardObservationsBefore(nowMs);
    this.lastObservedAt.clear();
    this.observeOnlyUntil = nowMs + OBSERVE_AFTER_PAUSE_MS;
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /** Plans once and sends at most one order to each engine that is assigned to this daemon. */
  async round(): Promise<void> {
    const { state } = this.options;
    const plan = this.plan();
    if (!plan) return;
    this.updateGaps(plan);
    const live = state.liveControlIds();
    await Promise.all(
      this.engineRecords()
        .filter(({ vm }) => isOrderSender(vm, state.self.bootId, live))
        .filter((record) => mayNeedOrder(record, plan) || this.observationDue(record))
        .map((record) => this.reconcileEngine(record, plan)),
    );
  }

  private observationDue({ vm }: VmRecord): boolean {
    const nowMs = this.options.state.timers.now();
    return nowMs - (this.lastObservedAt.get(vm) ?? -Infinity) >= OBSERVE_INTERVAL_MS;
  }

  private plan(): Plan | undefined {
    const { state } = this.options;
    const { cfg } = state;
    if (!cfg || !state.coldStartComplete || this.highestOrderedRevision > cfg.revision)
      return undefined;
    const records = this.engineRecords();
    const { groups, placement } = this.placementOf(cfg, state.targets.targets, records);
    const states = state.targetStates();
    const usable = new Set(
      states.filter(({ healthy, leaving }) => healthy && !leaving).map(({ vm }) => vm),
    );
    const engines = records.map(({ vm }) => ({
      vm,
      usable: usable.has(vm),
      tags: state.targets.modelsOf(vm),
    }));
    this.trackLoads(cfg, groups, engines);
    const permits = domainPermits(placement, groups, engines);
    return { cfg, groups, placement, engines, permits, states };
  }

  /** Desired models by VM; computed again only for a new configuration or list of VMs. */
  private placementOf(
    cfg: ConfigView,
    listed: readonly VmRecord[],
    engines: readonly VmRecord[],
  ): CachedPlacement {
    if (this.cachedPlacement?.cfg !== cfg || this.cachedPlacement.listed !== listed) {
      const groups = placementGroups(cfg, this.options.state.self.region);
      const vms = engines.map(({ vm }) => vm);
      this.cachedPlacement = { cfg, listed, groups, placement: placeModels(groups, vms) };
    }
    return this.cachedPlacement;
  }

  /** Engines of the failure domain that are live in the list of VMs. */
  private engineRecords(): VmRecord[] {
    return this.options.state.targets.targets.filter(
      ({ target, state }) => target?.kind === 'engine' && state === 'live',
    );
  }

  private trackLoads(
    cfg: ConfigView,
    groups: readonly PlacementGroup[],
    engines: readonly DomainEngine[],
  ): void {
    const domains = Object.values(cfg.regions).flatMap((region) => region.failure_domains).length;
    const loads = engines.flatMap(({ vm, tags }) =>
      tags
        .filter((tag) => tag.endsWith(':loading'))
        .map((tag) => {
          const group = groups.find(({ model }) => tag.startsWith(`${model}@`));
          const { weight_store_mbit_per_s: rate } = cfg.limits;
          return {
            name: `${vm} ${tag}`,
            durationMs: weightLoadTimeMs(group?.weightsMb ?? 0, rate, domains),
          };
        }),
    );
    this.loadLimiter.observe(loads, this.options.state.timers.now());
  }

  private updateGaps(plan: Plan): void {
    const { state } = this.options;
    const { region, failureDomain } = state.self;
    state.gaps = this.gaps.track(findGaps({ ...plan, region, failureDomain }), state.timers.now());
  }

  /** Observes an engine and sends the next order if one is still needed. */
  private async reconcileEngine(record: VmRecord, plan: Plan): Promise<void> {
    const { vm, address } = record;
    if (this.inProgress.has(vm)) return;
    this.inProgress.add(vm);
    try {
      const { state, client } = this.options;
      const observedAt = state.timers.now();
      this.lastObservedAt.set(vm, observedAt);
      const result = await client.readLoadReport(address);
      if (result.kind !== 'ok' || result.value.state === 'leaving') return;
      const engine = observedEngine(result.value, observedAt);
      // An order of a newer revision shows that another daemon has a newer configuration.
      this.highestOrderedRevision = Math.max(
        this.highestOrderedRevision,
        revisionOfFencing(engine.highestFencing),
      );
      state.config.observeRevision(this.highestOrderedRevision);
      const behind = this.highestOrderedRevision > plan.cfg.revision;
      if (behind || observedAt < this.observeOnlyUntil) return;
      const order = this.chooseOrder(vm, engine, plan);
      if (order) await this.send(record, engine, order, plan.cfg.revision);
    } finally {
      this.inProgress.delete(vm);
    }
  }

  private chooseOrder(vm: string, engine: ObservedEngine, plan: Plan): EngineOrder | undefined {
    const nowMs = this.options.state.timers.now();
    if (!this.orderTracker.isObservationCurrent(engine, nowMs)) return undefined;
    if (this.orderTracker.inFlight(vm, engine, nowMs)) return undefined;
    const desired = plan.placement.get(vm);
    const retryFailed = this.mayRetry(vm, desired, engine, nowMs);
    const step = nextStep(desired, engine, {
      load: this.loadLimiter.mayStart(nowMs) && (plan.permits.load.has(vm) || retryFailed),
      unload: (model) => plan.permits.unload.has(`${vm} ${model}`),
      retryFailed,
    });
    return step.kind === 'order' ? step.order : undefined;
  }

  private mayRetry(
    vm: string,
    desired: PlacementGroup | undefined,
    engine: ObservedEngine,
    nowMs: number,
  ): boolean {
    const failed = engine.models.some(
      ({ model, version, state }) =>
        model === desired?.model && version === desired.version && state === 'failed',
    );
    if (!failed) {
      this.failedSince.delete(vm);
      return false;
    }
    const since = this.failedSince.get(vm) ?? nowMs;
    const due = nowMs - since >= FAILED_LOAD_RETRY_MS;
    this.failedSince.set(vm, due ? nowMs : since);
    return due;
  }

  private async send(
    { vm, address }: VmRecord,
    engine: ObservedEngine,
    order: EngineOrder,
    revision: number,
  ): Promise<void> {
    const { state, client, metrics } = this.options;
    const choice = this.orderTracker.nextFencing(vm, revision, engine);
    if (choice.kind === 'newer-revision') {
      state.config.observeRevision(choice.revision);
      metrics.orders.inc({ result: 'newer_revision' });
      return;
    }
    const { fencing } = choice;
    this.orderTracker.recordSent(vm, fencing, order, state.timers.now());
    const body = { fencing, valid_for_ms: ORDER_VALIDITY_MS, order };
    const result = await client.sendOrder(address, body);
    metrics.orders.inc({ result: result.kind });
    if (result.kind === 'refused') {
      const highest = (result.body as { highest_fencing?: unknown }).highest_fencing;
      this.orderTracker.recordRejected(vm, typeof highest === 'number' ? highest : 0);
    }
    const { kind, model, version } = order;
    this.log.info('order sent', { vm, kind, model, version, fencing, result: result.kind });
  }
}

/** Whether an engine may need an order, judging by its models as known from gossip. */
function mayNeedOrder({ vm }: VmRecord, { placement, engines, permits }: Plan): boolean {
  const tags = engines.find((engine) => engine.vm === vm)?.tags ?? [];
  return mayReceiveOrder(vm, tags, placement.get(vm), permits);
}
