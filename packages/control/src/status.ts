/** Builds the status of a control daemon for operators. */
import { MembershipTiming, type SilentDomain, type StatusResult } from '@marjoramcart/core';
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
    silentDomains: silentDomains(state, nowMs),
    gaps: state.gaps,
  };
}

function silentDomains(
  { cfg, self, summaries, uptimeMs }: ControlState,
  nowMs: number,
): SilentDomain[] {
  return Object.values(cfg?.regions ?? {})
    .flatMap((region) => region.failure_domains)
    .filter((failureDomain) => failureDomain !== self.failureDomain)
    .map((failureDomain) => ({
      failureDomain,
      ageMs: Math.round(Math.min(summaries.ageOf(failureDomain, nowMs), uptimeMs)),
    }))
    .filter(({ ageMs }) => ageMs > MembershipTiming.SummaryExpiryMs);
}
