/** Answers `entry.sync`: registers the entry and sends it what changed. */
import { snapshotDelta, type EntrySyncParams, type EntrySyncResult } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

/**
 * Handles one sync of an entry daemon. Targets that failed on the entry's own connections are passed
 * to `probeNow`.
 *
 * @example syncEntryDaemon(state, params).revision
 */
export function handleEntrySyncRequest(
  state: ControlState,
  params: EntrySyncParams,
  probeNow: (vms: readonly string[]) => void = () => {},
): EntrySyncResult {
  const nowMs = state.timers.now();
  const { process, load, revision } = params;
  if (state.members.registerEntry(process, load, revision, nowMs)) state.onEntryDraining();
  state.config.observeRevision(params.witnessedRevision);
  state.suspects.merge(params.suspects, nowMs);
  const failing = params.observations.filter(({ failures, successes }) => failures > successes);
  if (failing.length > 0) probeNow(failing.map(({ vm }) => vm));
  // Before the cold start is over, a peer may still hold a newer configuration.
  const current = state.coldStartComplete ? state.config.current : undefined;
  return {
    control: state.self,
    revision: current?.revision ?? 0,
    ...(current &&
      params.held &&
      current.revision > params.revision && { delta: snapshotDelta(current, params.held) }),
    ...viewUpdate(state, params),
  };
}

/** What the entry lacks of the view: changes, or all when it holds no version of this daemon. */
function viewUpdate(
  state: ControlState,
  { viewVersion, viewOf }: EntrySyncParams,
): Pick<EntrySyncResult, 'view' | 'changes'> {
  const log = state.viewLog();
  const nowMs = state.timers.now();
  const ownView = viewOf === state.self.bootId;
  // An entry of an older release does not tell whose view it holds.
  if (log.version === viewVersion && (ownView || viewOf === undefined)) return {};
  if (viewVersion !== 0 && !state.viewComplete) return {};
  const changes = ownView ? log.changesSince(viewVersion, nowMs) : undefined;
  return changes ? { changes } : { view: log.fullView(nowMs) };
}
