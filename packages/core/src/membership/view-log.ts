/**
 * The view of a control daemon with the version at which each of its items last changed, so that an
 * entry that holds any version gets only what changed since.
 */
import type { DomainView, ViewChanges } from '../messages/messages.js';
import {
  ItemLog,
  byId,
  processItems,
  summaryItems,
  suspectItems,
  targetItems,
  type ItemKind,
} from './item-log.js';

/** What a view consists of, with ages at the time of the call. */
export type ViewContent = Omit<DomainView, 'version'>;

export class ViewLog {
  private readonly targets = new ItemLog(targetItems);

  private readonly processes = new ItemLog(processItems);

  private readonly summaries = new ItemLog(summaryItems);

  private readonly suspects = new ItemLog(suspectItems);

  private isolated = false;

  private entriesPerRegion: DomainView['entriesPerRegion'] = {};

  private currentVersion: number;

  /** @param first version of the empty view, which is given to no entry */
  constructor(private readonly first: number) {
    this.currentVersion = first;
  }

  /** Grows when more than ages changes. */
  get version(): number {
    return this.currentVersion;
  }

  /** Takes the present content of the view. */
  update(content: ViewContent, nowMs: number): void {
    const next = this.currentVersion + 1;
    const changed = [
      this.targets.update(content.targets, next, nowMs),
      this.processes.update(content.processes, next, nowMs),
      this.summaries.update(content.summaries, next, nowMs),
      this.suspects.update(content.suspects, next, nowMs),
      this.isolated !== content.isolated,
      JSON.stringify(this.entriesPerRegion) !== JSON.stringify(content.entriesPerRegion),
    ].some(Boolean);
    this.isolated = content.isolated;
    this.entriesPerRegion = content.entriesPerRegion;
    if (changed || this.currentVersion === this.first) this.currentVersion = next;
  }

  /** The whole view. */
  fullView(nowMs: number): DomainView {
    return {
      version: this.currentVersion,
      targets: this.targets.list(nowMs),
      processes: this.processes.list(nowMs),
      summaries: this.summaries.list(nowMs),
      suspects: this.suspects.list(nowMs),
      isolated: this.isolated,
      entriesPerRegion: this.entriesPerRegion,
    };
  }

  /** What a holder of a version of this log lacks; undefined when it needs the whole view. */
  changesSince(from: number, nowMs: number): ViewChanges | undefined {
    const logs = [this.targets, this.processes, this.summaries, this.suspects];
    const known = from > this.first && from <= this.currentVersion && logs.every((log) => log.covers(from));
    if (!known) return undefined;
    const removed = {
      targets: this.targets.removed(from),
      processes: this.processes.removed(from),
      summaries: this.summaries.removed(from),
      suspects: this.suspects.removed(from),
    };
    return {
      from,
      version: this.currentVersion,
      targets: this.targets.list(nowMs, from),
      processes: this.processes.list(nowMs, from),
      summaries: this.summaries.list(nowMs, from),
      suspects: this.suspects.list(nowMs, from),
      ...(Object.values(removed).some((ids) => ids.length > 0) && { removed }),
      isolated: this.isolated,
      entriesPerRegion: this.entriesPerRegion,
    };
  }
}

/**
 * Applies changes to the view that they were made for. The ages of all other items grow by the
 * `elapsedMs` since that view was taken.
 */
export function applyViewChanges(
  view: DomainView,
  changes: ViewChanges,
  elapsedMs: number,
): DomainView {
  const { removed } = changes;
  return {
    version: changes.version,
    targets: mergeItems(targetItems, view.targets, changes.targets, removed?.targets, elapsedMs),
    processes: mergeItems(
      processItems,
      view.processes,
      changes.processes,
      removed?.processes,
      elapsedMs,
    ),
    summaries: mergeItems(
      summaryItems,
      view.summaries,
      changes.summaries,
      removed?.summaries,
      elapsedMs,
    ),
    suspects: mergeItems(suspectItems, view.suspects, changes.suspects, removed?.suspects, elapsedMs),
    isolated: changes.isolated,
    entriesPerRegion: changes.entriesPerRegion,
  };
}

function mergeItems<Item>(
  kind: ItemKind<Item>,
  held: readonly Item[],
  changed: readonly Item[],
  removed: readonly string[] = [],
  elapsedMs = 0,
): Item[] {
  const { idOf, addAge: older } = kind;
  const gone = new Set([...removed, ...changed.map(idOf)]);
  const kept = held.filter((item) => !gone.has(idOf(item))).map((item) => older(item, elapsedMs));
  return [...kept, ...changed].sort(byId(kind));
}
