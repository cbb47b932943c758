/** What a gateway believes: configuration, targets and evacuated failure domains. */
import {
  RouteTable,
  TargetWork,
  type FleetConfig,
  type FleetState,
  type ServiceSpec,
  type TargetRecord,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { FleetListener } from '../ports/fleet-source.js';
import { TargetEntry } from './target-entry.js';

/** Without an answer for this long the source counts as lost. */
const SOURCE_LOST_MS = 8000;
/** Entries that lapsed while the source was away are listed again within this time. */
const RELIST_MS = 2500;
/** A target that could not be reached is taken for restarted, and so for cold, this long. */
const COLD_AFTER_FAULT_MS = 1500;
/** After an evacuation targets are taken for cold until their entries say otherwise. */
const COLD_AFTER_EVACUATION_MS = 2500;
const DEFAULT_CACHE_TOKENS = 400_000;

export class GatewayState implements FleetListener {
  private configInForce: FleetConfig | undefined;

  private routeTable = new RouteTable([]);

  private revisionKnown = 0;

  private evacuatedDomains: ReadonlySet<string> = new Set();

  private readonly targets = new Map<string, TargetEntry>();

  /** Usable targets by service, until the next change. */
  private readonly usable = new Map<string, TargetEntry[]>();

  private contactAt: number;

  private failing = false;

  private regainedAt = -Infinity;

  constructor(
    private readonly region: string,
    private readonly timers: TimerService,
    private readonly log: Logger,
  ) {
    this.contactAt = timers.now();
  }

  get config(): FleetConfig | undefined {
    return this.configInForce;
  }

  get routes(): RouteTable {
    return this.routeTable;
  }

  get revision(): number {
    return this.revisionKnown;
  }

  get evacuated(): ReadonlySet<string> {
    return this.evacuatedDomains;
  }

  /** Age of the last answer of the source, ms. */
  get sourceAgeMs(): number {
    return this.timers.now() - this.contactAt;
  }

  get sourceLost(): boolean {
    return this.failing || this.sourceAgeMs > SOURCE_LOST_MS;
  }

  service(name: string): ServiceSpec | undefined {
    return this.configInForce?.services.get(name);
  }

  target(id: string): TargetEntry | undefined {
    return this.targets.get(id);
  }

  /** Targets of a service in the own region that may be used. */
  usableTargets(service: string): readonly TargetEntry[] {
    const known = this.usable.get(service) ?? this.findUsable(service);
    this.usable.set(service, known);
    return known;
  }

  /** Usable targets of services that run engines. */
  usableEngines(): readonly TargetEntry[] {
    return [...(this.configInForce?.services.values() ?? [])]
      .filter(({ engine }) => engine !== undefined)
      .flatMap(({ name }) => this.usableTargets(name));
  }

  private findUsable(service: string): TargetEntry[] {
    return [...this.targets.values()].filter(
      ({ record, misdirected }) =>
        record.service === service &&
        record.region === this.region &&
        !record.draining &&
        !misdirected &&
        !this.evacuatedDomains.has(record.failureDomain),
    );
  }

  /** All targets of the own region. */
  localTargets(): TargetEntry[] {
    return [...this.targets.values()].filter(({ record }) => record.region === this.region);
  }

  /** The state as another gateway takes it over. */
  snapshot(): FleetState | undefined {
    if (!this.configInForce) return undefined;
    return {
      revision: this.revisionKnown,
      config: this.configInForce,
      targets: [...this.targets.values()]
        .filter(({ dropAt: goneAt }) => goneAt === undefined)
        .map(({ record }) => record),
      evacuated: this.evacuatedDomains,
    };
  }

  onState(state: FleetState): void {
    this.onContact();
    this.take(state, 'source');
  }

  onConfig(config: FleetConfig): void {
    this.onContact();
    this.takeConfig(config, 'source');
  }

  /** Takes a state that another gateway holds. */
  applyFromPeer(state: FleetState, node: string): void {
    this.take(state, node);
  }

  /** @param ageMs how long ago the source answered, when another gateway heard it */
  onContact(ageMs = 0): void {
    const now = this.timers.now();
    if (this.failing) {
      this.failing = false;
      this.regainedAt = now;
      this.log.info('configuration source regained', { lost_ms: Math.round(now - this.contactAt) });
    }
    this.contactAt = Math.max(this.contactAt, now - ageMs);
  }

  onFailure(reason: string): void {
    if (this.failing) return;
    this.failing = true;
    this.log.warn('configuration source lost', {
      reason,
      version: this.configInForce?.version ?? 0,
      revision: this.revisionKnown,
    });
  }

  /** A target broke off its connections: it may have restarted and be cold. */
  suspectRestart(id: string): void {
    const entry = this.targets.get(id);
    const warmupMs = entry ? (this.service(entry.record.service)?.warmupMs ?? 0) : 0;
    if (!entry || warmupMs === 0) return;
    entry.extendCold(this.timers.now() + warmupMs + COLD_AFTER_FAULT_MS);
  }

  /** Another target answered at the address. */
  onMisdirected(id: string): void {
    const entry = this.targets.get(id);
    if (!entry || entry.misdirected) return;
    entry.markMisdirected();
    this.usable.clear();
    this.log.info('target replaced at its address', { target: id, address: entry.record.address });
  }

  /** Drops targets whose entry is gone for long enough. */
  dropExpired(): void {
    const now = this.timers.now();
    [...this.targets.values()]
      .filter(({ dropAt: goneAt }) => goneAt !== undefined && now >= goneAt)
      .forEach(({ record }) => this.drop(record, 'entry gone'));
  }

  private take(state: FleetState, from: string): void {
    this.takeConfig(state.config, from);
    if (state.revision < this.revisionKnown) return;
    this.revisionKnown = state.revision;
    this.takeEvacuated(state.evacuated, from);
    this.takeTargets(state.targets, from);
    this.usable.clear();
  }

  /** A configuration is replaced only by a newer one. */
  private takeConfig(config: FleetConfig, from: string): void {
    const before = this.configInForce?.version ?? 0;
    if (config.version <= before) return;
    this.configInForce = config;
    this.routeTable = new RouteTable(config.routes);
    this.log.info('configuration in force', {
      version: config.version,
      before,
      from,
      routes: config.routes.length,
    });
  }

  private takeEvacuated(evacuated: ReadonlySet<string>, from: string): void {
    const before = this.evacuatedDomains;
    this.evacuatedDomains = evacuated;
    [...evacuated]
      .filter((domain) => !before.has(domain))
      .forEach((domain) => this.log.info('failure domain evacuated', { domain, from }));
    const restored = [...before].filter((domain) => !evacuated.has(domain));
    restored.forEach((domain) => this.log.info('failure domain restored', { domain, from }));
    const now = this.timers.now();
    [...this.targets.values()]
      .filter(({ record }) => restored.includes(record.failureDomain))
      .forEach((entry) => {
        if (this.service(entry.record.service)?.warmupMs === 0) return;
        entry.extendCold(now + COLD_AFTER_EVACUATION_MS);
      });
  }

  private takeTargets(records: readonly TargetRecord[], from: string): void {
    const listed = new Set(records.map(({ id }) => id));
    records.forEach((record) => this.takeTarget(record, from));
    const now = this.timers.now();
    const justRegained = now - this.regainedAt < RELIST_MS;
    [...this.targets.values()]
      .filter(({ record, dropAt: goneAt }) => !listed.has(record.id) && goneAt === undefined)
      .forEach((entry) => {
        const keptMs = justRegained ? RELIST_MS : 0;
        entry.scheduleDrop(now + keptMs);
        this.log.info('target no longer listed', {
          target: entry.record.id,
          from,
          kept_ms: keptMs,
        });
      });
    this.dropExpired();
  }

  private takeTarget(record: TargetRecord, from: string): void {
    const now = this.timers.now();
    const known = this.targets.get(record.id);
    if (!known || isOtherStart(known.record, record)) {
      const cacheTokens = this.service(record.service)?.engine?.kvCapacityTokens;
      const work = new TargetWork(cacheTokens ?? DEFAULT_CACHE_TOKENS);
      this.targets.set(record.id, new TargetEntry(record, work, now));
      this.log.info('target listed', { target: record.id, service: record.service, from });
      return;
    }
    if (known.record.draining !== record.draining) {
      this.log.info('target drains', { target: record.id, draining: record.draining, from });
    }
    known.update(record, now);
  }

  private drop(record: TargetRecord, reason: string): void {
    this.targets.delete(record.id);
    this.usable.clear();
    this.log.info('target dropped', { target: record.id, reason });
  }
}

function isOtherStart(a: TargetRecord, b: TargetRecord): boolean {
  return a.bornAt !== b.bornAt || a.address !== b.address;
}
