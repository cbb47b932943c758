/** Merges the status of several control daemons into one status of the fleet. */
import type { PlacementGap, ProcessRecord, StatusResult } from '@marjoramcart/core';

/** Result of fetching the status from one address. */
export type StatusResponse =
  | { readonly kind: 'answered'; readonly address: string; readonly status: StatusResult }
  | { readonly kind: 'unreachable'; readonly address: string; readonly message: string };

export interface DaemonRow {
  readonly failureDomain: string;
  readonly vm: string;
  readonly role: string;
  readonly address: string;
  /** Absent for a daemon that did not respond. */
  readonly revision?: number;
  readonly state: 'ok' | 'stale' | 'draining' | 'missing';
  readonly note: string;
}

export interface FleetStatus {
  /** Highest revision in force at any daemon. */
  readonly revision: number;
  readonly daemons: readonly DaemonRow[];
  readonly gaps: readonly PlacementGap[];
  readonly problems: readonly string[];
}

/** Time without a response of the configuration service after which a problem is reported. */
const STALE_CONFIG_SERVICE_MS = 60_000;

/**
 * Merges the responses of control daemons into the status of the fleet.
 *
 * @example mergeFleetStatus([]).daemons // []
 */
export function mergeFleetStatus(responses: readonly StatusResponse[]): FleetStatus {
  const answered = responses.filter((response) => response.kind === 'answered');
  const processes = mergeProcesses(answered.map(({ status }) => status));
  const revision = Math.max(0, ...processes.map((entry) => entry.revision));
  const missing = responses.filter((response) => response.kind === 'unreachable');
  const rows = processes.map((entry) => rowOf(entry, revision));
  const daemons = [
    ...rows.sort((a, b) => (sortKey(a) < sortKey(b) ? -1 : 1)),
    ...missing.map(({ address, message }) => ({
      failureDomain: '?',
      vm: '?',
      role: 'control',
      address,
      state: 'missing' as const,
      note: message,
    })),
  ];
  const problems = answered.flatMap(({ status }) => problemsOf(status));
  return {
    revision,
    daemons,
    gaps: mergeGaps(answered.map(({ status }) => status)),
    problems: [...new Set(problems)],
  };
}

/**
 * Whether every daemon responds and has the current revision, all wanted targets are ready and there
 * are no other problems.
 *
 * @example isHealthy({ revision: 1, daemons: [], gaps: [], problems: [] }) // true
 */
export function isHealthy({ daemons, gaps, problems }: FleetStatus): boolean {
  const hasOutdatedOrMissing = daemons.some(
    ({ state }) => state === 'stale' || state === 'missing',
  );
  return !hasOutdatedOrMissing && gaps.length === 0 && problems.length === 0;
}

/** Keeps one record per process: the one with the highest heartbeat of all responses. */
function mergeProcesses(responses: readonly StatusResult[]): ProcessRecord[] {
  const byBootId = new Map<string, ProcessRecord>();
  responses
    .flatMap(({ control, revision, processes }) => [
      // A daemon's own status is newer than what other daemons received about it by gossip.
      { process: control, revision, heartbeat: Number.MAX_SAFE_INTEGER },
      ...processes,
    ])
    .forEach((entry) => {
      const known = byBootId.get(entry.process.bootId);
      if (!known || entry.heartbeat > known.heartbeat) byBootId.set(entry.process.bootId, entry);
    });
  return [...byBootId.values()];
}

function rowOf({ process, revision, load }: ProcessRecord, highest: number): DaemonRow {
  const stale = revision < highest;
  const state = load?.draining ? 'draining' : 'ok';
  return {
    failureDomain: process.failureDomain,
    vm: process.vm,
    role: process.role,
    address: process.peerAddress,
    revision,
    state: stale ? 'stale' : state,
    note: stale ? `${highest - revision} behind` : '',
  };
}

function sortKey({ failureDomain, vm, role }: DaemonRow): string {
  return `${failureDomain}\n${vm}\n${role}`;
}

function mergeGaps(responses: readonly StatusResult[]): PlacementGap[] {
  const byDomainAndService = new Map<string, PlacementGap>();
  responses
    .flatMap(({ gaps }) => gaps)
    .forEach((gap) => {
      const key = `${gap.failureDomain}\n${gap.service}`;
      const known = byDomainAndService.get(key);
      if (!known || gap.sinceMs > known.sinceMs) byDomainAndService.set(key, gap);
    });
  return [...byDomainAndService.values()];
}

function problemsOf({
  control,
  rejected,
  configServiceAgeMs,
  silentDomains = [],
}: StatusResult): string[] {
  const domain = control.failureDomain;
  const lost = silentDomains.map(
    ({ failureDomain, ageMs }) =>
      `${domain} has not heard from ${failureDomain} for ${Math.round(ageMs / 1000)} s`,
  );
  return [
    ...(rejected ? [`revision ${rejected.revision} is rejected: ${rejected.message}`] : []),
    ...(configServiceAgeMs > STALE_CONFIG_SERVICE_MS
      ? [
          `${control.vm} has no answer of the configuration service for ` +
            `${Math.round(configServiceAgeMs / 1000)} s`,
        ]
      : []),
    ...lost,
  ];
}
