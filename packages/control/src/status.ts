/** Builds the status of a control daemon for operators. */
import type { StatusResult } from '@marjoramcart/core';
import type { ControlState } from './control-state.js';

/**
 * Returns what the daemon knows of the fleet.
 *
 * @example statusOf(state).revision
 */
export function statusOf(state: ControlState): StatusResult {
  const nowMs = state.timers.now();
  const { rejected, revision } = state.config;
  const respondedAt = state.configServiceRespondedAt;
  return {
    control: state.self,
    revision,
    ...(rejected && { rejected }),
    configServiceAgeMs: respondedAt === undefined ? -1 : Math.round(nowMs - respondedAt),
    processes: state.processes(),
    targets: state.targetStates(),
    summaries: state.summaries.unexpired(nowMs),
    gaps: state.gaps,
  };
}
