/** Combines the answers of several control daemons to one picture of the fleet. */
import {
  MembershipTiming,
  type PlacementGap,
  type ProcessRecord,
  type StatusResult,
} from '@marjoramcart/core';

/** Answer of one address that was asked. */
export type StatusResponse =
  | { readonly kind: 'answered'; readonly address: string; readonly status: StatusResult }
  | { readonly kind: 'unreachable'; readonly address: string; readonly message: string };

export interface DaemonRow {
  readonly failureDomain: string;
  readonly vm: string;
  readonly role: string;
  readonly address: string;
  /** Absent for a daemon that did not answer. */
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

/** Age of the last answer of the configuration service that is reported, ms. */
const STALE_CONFIG_SERVICE_MS = 60_000;

/**
 * Builds the status of the fleet.
 *
 * @example fleetStatus([]).daemons // []
 */
export function mergeFleetStatus(answers: readonly StatusResponse[]): FleetStatus {
  const answered = answers.filter((answer) => answer.kind === 'answered');
  const processes = mergeProcesses(answered.map(({ status }) => status));
  const revision = Math.max(0, ...processes.map((entry) => entry.revision));
  const missing = answers.filter((answer) => answer.kind === 'unreachable');
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
 * Whether every daemon answers, is current and has its targets ready.
 *
 * @example isHealthy({ revision: 1, daemons: [], gaps: [], problems: [] }) // true
 */
export function isHealthy({ daemons, gaps, problems }: FleetStatus): boolean {
  const bad = daemons.some(({ state }) => state === 'stale' || state === 'missing');
  return !bad && gaps.length === 0 && problems.length === 0;
}

/** One entry per process, with the newest heartbeat of all answers. */
function mergeProcesses(answers: readonly StatusResult[]): ProcessRecord[] {
  const byBootId = new Map<string, ProcessRecord>();
  answers
    .flatMap(({ control, revision, processes }) => [
      // A daemon's own answer is newer than any gossip about it.
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

function mergeGaps(answers: readonly StatusResult[]): PlacementGap[] {
  const byPlace = new Map<string, PlacementGap>();
  answers
    .flatMap(({ gaps }) => gaps)
    .forEach((gap) => {
      const key = `${gap.failureDomain}\n${gap.service}`;
      const known = byPlace.get(key);
      if (!known || gap.sinceMs > known.sinceMs) byPlace.set(key, gap);
    });
  return [...byPlace.values()];
}

function problemsOf({ control, rejected, configServiceAgeMs, summaries }: StatusResult): string[] {
  const domain = control.failureDomain;
  const lost = summaries
    .filter(({ ageMs }) => ageMs > MembershipTiming.SummaryExpiryMs)
    .map(
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
