/** Handles `entry.sync`: registers the entry and returns the changes that it lacks. */
import { snapshotDelta, type EntrySyncParams, type EntrySyncResult } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

/**
 * Handles one sync request of an entry. Targets with more failures than successes on the entry's own
 * connections are passed to `probeNow`.
 *
 * @example handleEntrySyncRequest(state, params).revision
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
  // Before the cold start is complete, a peer may still have a newer configuration.
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

/** View changes that the entry lacks, or the whole view if this daemon has no changes since its version. */
function viewUpdate(
  state: ControlState,
  { viewVersion, viewOf }: EntrySyncParams,
): Pick<EntrySyncResult, 'view' | 'changes'> {
  const log = state.viewLog();
  const nowMs = state.timers.now();
  const isLocalView = viewOf === state.self.bootId;
  // An entry of an older release does not send the id of the daemon that its view came from.
  if (log.version === viewVersion && (isLocalView || viewOf === undefined)) return {};
  if (viewVersion !== 0 && !state.viewComplete) return {};
  const changes = isLocalView ? log.changesSince(viewVersion, nowMs) : undefined;
  return changes ? { changes } : { view: log.fullView(nowMs) };
}
