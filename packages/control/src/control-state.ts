/** State that the tasks of a control daemon share, and the view that is sent to the entries. */
import {
  ConfigStore,
  ConfigPartStore,
  MemberTable,
  GossipedSuspectTable,
  SummaryTable,
  TargetTable,
  ViewLog,
  VmStore,
  summarizeEntries,
  viewOfSnapshot,
  withReadyServices,
  type ConfigView,
  type ParsedSnapshot,
  type PlacementGap,
  type ProcessRecord,
  type ProcessRef,
  type Snapshot,
  type TargetState,
  type ViewContent,
  type VmList,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';

/** Where a snapshot, a list of VMs or the state of a draining entry came from. */
export type ChangeSource = 'platform' | 'entry' | 'own-domain' | 'other-domain';

type Listener = (source: ChangeSource) => void;

const VIEW_REBUILD_MS = 200;
/** Longest wait for a complete view, so that leaving marks reach the entries within 3 s. */
export const WARM_UP_TIMEOUT_MS = 2500;

export class ControlState {
  readonly config = new ConfigStore();

  readonly rawConfig = new ConfigPartStore();

  readonly vms = new VmStore();

  readonly targets: TargetTable;

  readonly members: MemberTable;

  readonly summaries: SummaryTable;

  readonly suspects = new GossipedSuspectTable();

  /** Gaps that the latest planning round of the order task found. */
  gaps: readonly PlacementGap[] = [];

  /** Whether the cold start is complete. */
  coldStartComplete = false;

  /** Time of the last response of the configuration service, in ms; undefined before the first. */
  configServiceRespondedAt: number | undefined;

  private parsed: ParsedSnapshot | undefined;

  private readonly view: ViewLog;

  private viewBuiltAt = -Infinity;

  private liveIds: readonly string[] = [];

  private warmedUp = false;

  private readonly startedAt: number;

  private readonly listeners: Listener[] = [];

  constructor(
    readonly self: ProcessRef,
    readonly timers: TimerService,
  ) {
    this.startedAt = timers.now();
    this.targets = new TargetTable(self.bootId);
    this.members = new MemberTable(self, timers.now());
    this.summaries = new SummaryTable(self.failureDomain, self.region);
    // Starts at the wall clock: after a restart, versions exceed those that entries still have.
    this.view = new ViewLog(Math.floor(timers.wall()));
    timers.onPause(({ durationMs }) => {
      this.members.afterPause(durationMs);
      this.targets.afterPause(durationMs);
    });
  }

  /** Time since the start of this daemon, ms. */
  get uptimeMs(): number {
    return this.timers.now() - this.startedAt;
  }

  /** Calls `fn` after a new revision, a new list of VMs, or an entry starting to drain. */
  onChange(fn: Listener): void {
    this.listeners.push(fn);
  }

  /** The configuration in force, parsed. */
  get cfg(): ConfigView | undefined {
    const { current } = this.config;
    if (current && current !== this.parsed?.snapshot) {
      this.parsed = { snapshot: current, view: viewOfSnapshot(current, this.parsed) };
    }
    return this.parsed?.view;
  }

  /** Applies a snapshot if it is newer; returns whether it was applied. */
  applySnapshot(snapshot: Snapshot, source: ChangeSource): boolean {
    const applied = this.config.offer(snapshot) === 'taken';
    if (applied) this.notifyListeners(source);
    return applied;
  }

  /** Applies a list of VMs if it is newer; returns whether it was applied. */
  applyVmList(list: VmList, source: ChangeSource): boolean {
    const applied = this.vms.offer(list);
    if (applied) {
      this.targets.setRecords(this.vms.vmsOf(this.self.failureDomain, 'target'));
      this.notifyListeners(source);
    }
    return applied;
  }

  /** Called when an entry of this VM starts to drain. */
  onEntryDraining(): void {
    this.notifyListeners('entry');
  }

  /**
   * Boot ids of the live control daemons of the local failure domain. Returns the same array until
   * the ids change, since assignments are computed once per array.
   */
  liveControlIds(): readonly string[] {
    const ids = this.members.liveControls(this.timers.now()).map(({ bootId }) => bootId);
    if (ids.join() !== this.liveIds.join()) this.liveIds = ids;
    return this.liveIds;
  }

  /** States of the local targets, without services whose dependencies are not ready. */
  targetStates(): TargetState[] {
    const nowMs = this.timers.now();
    const states = this.targets.states(nowMs, this.hasRemoteContact(nowMs));
    return withReadyServices(states, this.cfg?.services ?? {});
  }

  /** Daemons of the local failure domain; entries on a VM that is leaving count as draining. */
  processes(): ProcessRecord[] {
    const leaving = new Set(
      this.vms
        .vmsOf(this.self.failureDomain, 'entry')
        .filter(({ state }) => state === 'leaving')
        .map(({ vm }) => vm),
    );
    return this.members
      .processes()
      .map((entry) =>
        entry.load && leaving.has(entry.process.vm)
          ? { ...entry, load: { ...entry.load, draining: true } }
          : entry,
      );
  }

  /** View for the entries; its version stays the same if only ages changed. */
  viewLog(): ViewLog {
    const nowMs = this.timers.now();
    if (nowMs - this.viewBuiltAt >= VIEW_REBUILD_MS) {
      this.view.update(this.buildView(nowMs), nowMs);
      this.viewBuiltAt = nowMs;
    }
    return this.view;
  }

  /**
   * Whether the view has covered all targets and failure domains of the list of VMs, or the warm-up
   * timeout has passed. A daemon that has just started knows few of them; its view must not replace
   * the more complete one of an entry.
   */
  get viewComplete(): boolean {
    if (this.warmedUp) return true;
    const nowMs = this.timers.now();
    const { version, vms } = this.vms.current;
    const fresh = new Set(
      this.summaries.unexpired(nowMs).map(({ failureDomain }) => failureDomain),
    );
    const covered =
      version > 0 &&
      this.targets.allProbed &&
      vms.every(
        ({ failureDomain }) =>
          failureDomain === this.self.failureDomain || fresh.has(failureDomain),
      );
    this.warmedUp = covered || this.uptimeMs >= WARM_UP_TIMEOUT_MS;
    return this.warmedUp;
  }

  /** Whether this daemon assumes that it is cut off from its targets, rather than that they failed. */
  isolated(nowMs: number): boolean {
    return this.targets.isolated(nowMs, this.hasRemoteContact(nowMs));
  }

  /** Whether a recent summary of another failure domain is known. */
  private hasRemoteContact(nowMs: number): boolean {
    const { failureDomain: local } = this.self;
    return this.summaries.unexpired(nowMs).some(({ failureDomain }) => failureDomain !== local);
  }

  private buildView(nowMs: number): ViewContent {
    const processes = this.processes();
    const summaries = this.summaries
      .unexpired(nowMs)
      .filter(({ failureDomain }) => failureDomain !== this.self.failureDomain);
    const localEntries = summarizeEntries(processes.filter(({ load }) => load));
    const entriesPerRegion: Record<string, number> = {};
    [...summaries, { region: this.self.region, entries: localEntries }].forEach(
      ({ region, entries }) => {
        entriesPerRegion[region] = (entriesPerRegion[region] ?? 0) + entries.length;
      },
    );
    return {
      targets: this.targetStates(),
      processes,
      summaries,
      suspects: this.suspects.recordsVisibleTo(this.self.region, this.cfg, nowMs),
      isolated: this.isolated(nowMs),
      entriesPerRegion,
    };
  }

  private notifyListeners(source: ChangeSource): void {
    // Makes the next call of `viewLog` rebuild the view.
    this.viewBuiltAt = -Infinity;
    this.listeners.forEach((fn) => fn(source));
  }
}
