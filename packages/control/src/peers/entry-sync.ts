/** Answers `entry.sync`: registers the entry and sends it what changed. */
import { snapshotDelta, type EntrySyncParams, type EntrySyncResult } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

/**
 * Handles one sync of an entry daemon. Targets that failed on the entry's own connections are passed
 * to `probeNow`.
 *
 * @example syncEntryDaemon(state, params).revision
 */
export function syncEntryDaemon(
  state: ControlState,
  params: EntrySyncParams,
  probeNow: (vms: readonly string[]) => void = () => {},
): EntrySyncResult {
  const nowMs = state.timers.now();
  state.members.registerEntry(params.process, params.load, params.revision, nowMs);
  state.config.witness(params.witnessedRevision);
  state.suspects.merge(params.suspects, nowMs);
  const failing = params.observations.filter(({ failures, successes }) => failures > successes);
  if (failing.length > 0) probeNow(failing.map(({ vm }) => vm));
  // Before the cold start is over, a peer may still hold a newer configuration.
  const current = state.opened ? state.config.current : undefined;
  const view = state.domainView();
  const wantsView = view.version !== params.viewVersion;
  const holdsNone = params.viewVersion === 0;
  return {
    control: state.self,
    revision: current?.revision ?? 0,
    ...(current &&
      params.held &&
      current.revision > params.revision && { delta: snapshotDelta(current, params.held) }),
    ...(wantsView && (holdsNone || state.viewComplete) && { view }),
  };
}
