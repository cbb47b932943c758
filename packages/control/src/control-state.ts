/** State of a control daemon: the stores that its tasks share, and the view for the entries. */
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

/** Where a snapshot, a list or the news of a draining entry came from. */
export type ChangeSource = 'platform' | 'entry' | 'own-domain' | 'other-domain';

type Listener = (source: ChangeSource) => void;

const VIEW_REBUILD_MS = 200;
/** Bound on the wait for a complete view, so that leaving marks reach entries within 3 s. */
const WARM_UP_TIMEOUT_MS = 2500;

export class ControlState {
  readonly config = new ConfigStore();

  readonly rawConfig = new ConfigPartStore();

  readonly vms = new VmStore();

  readonly targets: TargetTable;

  readonly members: MemberTable;

  readonly summaries: SummaryTable;

  readonly suspects = new GossipedSuspectTable();

  gaps: readonly PlacementGap[] = [];

  /** Whether the cold start is over. */
  coldStartComplete = false;

  /** Time of the last answer from the configuration service, in ms; undefined before the first. */
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
    // A restarted daemon goes on with higher versions than entries may hold from its predecessor.
    this.view = new ViewLog(Math.floor(timers.wall()));
    timers.onPause(({ durationMs }) => {
      this.members.afterPause(durationMs);
      this.targets.afterPause(durationMs);
    });
  }

  /** Calls `fn` after each new revision, version of the list of VMs, and entry that drains. */
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

  /** Takes a snapshot into force if it is newer. */
  applySnapshot(snapshot: Snapshot, source: ChangeSource): boolean {
    const taken = this.config.offer(snapshot) === 'taken';
    if (taken) this.notifyListeners(source);
    return taken;
  }

  /** Takes a list of VMs if it is newer. */
  applyVmList(list: VmList, source: ChangeSource): boolean {
    const taken = this.vms.offer(list);
    if (taken) {
      this.targets.setRecords(this.vms.vmsOf(this.self.failureDomain, 'target'));
      this.notifyListeners(source);
    }
    return taken;
  }

  /** An entry of this VM began to drain. */
  onEntryDraining(): void {
    this.notifyListeners('entry');
  }

  /**
   * Boot ids of the live control daemons of the own failure domain: the same list as long as they
   * are the same, since duties are computed once for each list.
   */
  liveControlIds(): readonly string[] {
    const ids = this.members.liveControls(this.timers.now()).map(({ bootId }) => bootId);
    if (ids.join() !== this.liveIds.join()) this.liveIds = ids;
    return this.liveIds;
  }

  /** States of the own targets, without services whose dependencies are not ready. */
  targetStates(): TargetState[] {
    const nowMs = this.timers.now();
    const states = this.targets.states(nowMs, this.hasRemoteContact(nowMs));
    return withReadyServices(states, this.cfg?.services ?? {});
  }

  /** Daemons of the own failure domain; entries on a VM that is leaving count as draining. */
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

  /** View for the entries; its version changes only when more than ages changed. */
  viewLog(): ViewLog {
    const nowMs = this.timers.now();
    if (nowMs - this.viewBuiltAt >= VIEW_REBUILD_MS) {
      this.view.update(this.buildView(nowMs), nowMs);
      this.viewBuiltAt = nowMs;
    }
    return this.view;
  }

  /**
   * Whether the view covers all targets and failure domains of the list. A daemon that has just
   * started knows few of them; its view must not replace the fuller one that an entry holds.
   */
  get viewComplete(): boolean {
    if (this.warmedUp) return true;
    const nowMs = this.timers.now();
    const { version, vms } = this.vms.current;
    const fresh = new Set(this.summaries.unexpired(nowMs).map(({ failureDomain }) => failureDomain));
    const covered =
      version > 0 &&
      this.targets.allProbed &&
      vms.every(
        ({ failureDomain }) =>
          failureDomain === this.self.failureDomain || fresh.has(failureDomain),
      );
    this.warmedUp = covered || nowMs - this.startedAt >= WARM_UP_TIMEOUT_MS;
    return this.warmedUp;
  }

  /** Whether this process takes itself to be cut off, and not its targets to be lost. */
  isolated(nowMs: number): boolean {
    return this.targets.isolated(nowMs, this.hasRemoteContact(nowMs));
  }

  /** Whether another failure domain was heard of lately. */
  private hasRemoteContact(nowMs: number): boolean {
    const { failureDomain: own } = this.self;
    return this.summaries.unexpired(nowMs).some(({ failureDomain }) => failureDomain !== own);
  }

  private buildView(nowMs: number): ViewContent {
    const processes = this.processes();
    const summaries = this.summaries
      .unexpired(nowMs)
      .filter(({ failureDomain }) => failureDomain !== this.self.failureDomain);
    const ownEntries = summarizeEntries(processes.filter(({ load }) => load));
    const entriesPerRegion: Record<string, number> = {};
    [...summaries, { region: this.self.region, entries: ownEntries }].forEach(
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
    this.viewBuiltAt = -Infinity;
    this.listeners.forEach((fn) => fn(source));
  }
}
