/**
 * Packed forms of gossip, which refer to names by their index in a sorted list. They are used only
 * between daemons whose lists have the same digest; otherwise the forms with names are sent.
 */
import { createHash } from 'node:crypto';
import type {
  Heartbeats,
  OriginUpdate,
  PackedOrigin,
  PackedSummaries,
  PackedSummary,
  SummaryUpdate,
  SummaryVersions,
} from '../messages/messages.js';

const DIGEST_CHARS = 8;
/** Number of figures per failure domain: versions of its summary, services and entries. */
const FIGURES_PER_DOMAIN = 3;
const AGE_STEP_MS = 100;

/**
 * Digest of a list of names; the order matters.
 *
 * @example namesDigest(['a', 'b']) === namesDigest(['a', 'b'])
 */
export function namesDigest(names: readonly string[]): string {
  const text = names.join('\n');
  return createHash('sha256').update(text).digest('base64url').slice(0, DIGEST_CHARS);
}

/** Heartbeats in the order of `names`; 0 for unknown daemons. */
export function packHeartbeats(names: readonly string[], held: Heartbeats): number[] {
  return names.map((name) => held[name] ?? 0);
}

export function unpackHeartbeats(names: readonly string[], beats: readonly number[]): Heartbeats {
  return Object.fromEntries(names.map((name, index) => [name, beats[index] ?? 0]));
}

/** Packs an update of an origin; a revision equal to that of the message is left out. */
export function packOrigin(
  names: readonly string[],
  { bootId, heartbeat, span = -1, revision, ...changes }: OriginUpdate,
  messageRevision: number,
): PackedOrigin {
  const more = { ...changes, ...(revision !== messageRevision && { revision }) };
  const head = [names.indexOf(bootId), heartbeat, span] as const;
  return Object.keys(more).length > 0 ? [...head, more] : head;
}

export function unpackOrigin(
  names: readonly string[],
  [index, heartbeat, span, changes]: PackedOrigin,
  messageRevision: number,
): OriginUpdate {
  return {
    bootId: names[index] ?? '',
    heartbeat,
    revision: messageRevision,
    ...(span >= 0 && { span }),
    ...changes,
  };
}

/** Packs versions and updates of summaries; versions are encoded as distance to the highest one. */
export function packSummaries(
  names: readonly string[],
  versions: SummaryVersions | undefined,
  updates: readonly SummaryUpdate[],
): PackedSummaries {
  const all = [
    ...Object.values(versions ?? {}).map(([version]) => version),
    ...updates.map(({ version }) => version),
  ];
  const top = Math.max(0, ...all);
  return {
    top,
    ...(versions && {
      behind: names.flatMap((name) => {
        const [version, services, entries] = versions[name] ?? [0, 0, 0];
        return [top - version, services, entries];
      }),
    }),
    updates: updates.map((update) => packSummary(names, top, update)),
  };
}

function packSummary(
  names: readonly string[],
  top: number,
  { failureDomain, version, servicesVersion, entriesVersion, ageMs, ...rest }: SummaryUpdate,
): PackedSummary {
  const head = [
    names.indexOf(failureDomain),
    top - version,
    version - servicesVersion,
    version - entriesVersion,
    Math.round(ageMs / AGE_STEP_MS),
  ] as const;
  const { services, entries } = rest;
  const parts = { ...(services && { services }), ...(entries && { entries }) };
  return services || entries ? [...head, parts] : head;
}

export function unpackVersions(
  names: readonly string[],
  { top, behind }: PackedSummaries,
): SummaryVersions | undefined {
  if (!behind) return undefined;
  return Object.fromEntries(
    names.map((name, index) => {
      const [version = top, services = 0, entries = 0] = behind.slice(
        index * FIGURES_PER_DOMAIN,
        (index + 1) * FIGURES_PER_DOMAIN,
      );
      return [name, [top - version, services, entries] as const];
    }),
  );
}

/** @param regionOf returns the region of a failure domain, which is not part of the packed form */
export function unpackSummaries(
  names: readonly string[],
  { top, updates }: PackedSummaries,
  regionOf: (failureDomain: string) => string,
): SummaryUpdate[] {
  return updates.map(([index, below, services, entries, age, parts]) => {
    const failureDomain = names[index] ?? '';
    const version = top - below;
    return {
      failureDomain,
      region: regionOf(failureDomain),
      version,
      servicesVersion: version - services,
      entriesVersion: version - entries,
      ageMs: age * AGE_STEP_MS,
      ...parts,
    };
  });
}
