/** Responses of the entry's admin listener to `/readyz` and `/status`. */
import type { Readiness } from '@marjoramcart/runtime';
import type { EntryState } from '../state/entry-state.js';

/** Readiness of the entry to serve callers. */
export function readinessOf(state: EntryState): Readiness {
  return { ready: state.ready, status: readyState(state), revision: state.revision };
}

/** Body of `/status`; `details` holds the fields of other components. */
export function statusOf(
  state: EntryState,
  details: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  return {
    process: state.self,
    state: state.controlLost ? 'control_lost' : readyState(state),
    ready: state.ready,
    draining: state.draining,
    control_lost: state.controlLost,
    isolated: state.view.isolated,
    revision: state.revision,
    root_hash: state.snapshot?.rootHash,
    view_version: state.view.version,
    view_age_ms: Math.round(state.viewAgeMs),
    targets: state.view.targets.length,
    ...details,
  };
}

function readyState(state: EntryState): string {
  if (state.draining) return 'draining';
  return state.config ? 'ready' : 'no_configuration';
}
