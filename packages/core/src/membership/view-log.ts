/**
 * The view of a control daemon, with the version in which each item last changed, so that an entry
 * receives only the changes since the version that it has.
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

/** Content of a view; ages refer to the time of the call. */
export type ViewContent = Omit<DomainView, 'version'>;

export class ViewLog {
  private readonly targets = new ItemLog(targetItems);

  private readonly processes = new ItemLog(processItems);

  private readonly summaries = new ItemLog(summaryItems);

  private readonly suspects = new ItemLog(suspectItems);

  private isolated = false;

  private entriesPerRegion: DomainView['entriesPerRegion'] = {};

  private currentVersion: number;

  /** @param initialVersion version of the empty view, which is never sent to an entry */
  constructor(private readonly initialVersion: number) {
    this.currentVersion = initialVersion;
  }

  /** Increases with each change other than growing ages. */
  get version(): number {
    return this.currentVersion;
  }

  /** Replaces the content of the view. */
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
    if (changed || this.currentVersion === this.initialVersion) this.currentVersion = next;
  }

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

  /** Changes since a version of this log; undefined if the full view has to be sent. */
  changesSince(from: number, nowMs: number): ViewChanges | undefined {
    const logs = [this.targets, this.processes, this.summaries, this.suspects];
    const known =
      from > this.initialVersion &&
      from <= this.currentVersion &&
      logs.every((log) => log.covers(from));
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
 * Applies changes to the view of the version `changes.from`. The ages of unchanged items grow by
 * `elapsedMs`, the time since that view was received.
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
    suspects: mergeItems(
      suspectItems,
      view.suspects,
      changes.suspects,
      removed?.suspects,
      elapsedMs,
    ),
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
  const { idOf, addAge } = kind;
  const replacedIds = new Set([...removed, ...changed.map(idOf)]);
  const kept = held
    .filter((item) => !replacedIds.has(idOf(item)))
    .map((item) => addAge(item, elapsedMs));
  return [...kept, ...changed].sort(byId(kind));
}
