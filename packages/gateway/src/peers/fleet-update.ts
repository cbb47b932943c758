/** Updates that a gateway which watches the source sends to the other gateways of its region. */
import { readEra, type FleetState, type TargetRecord } from '@marjoramcart/core';
import { encodeNotification, type Notification } from './notification.js';

const METHOD = 'fleet.news';
/** Limit of changed targets in one message, so that a datagram fits into one packet. */
const MAX_TARGETS = 8;

/** Changes of the fleet state between two revisions. */
export interface FleetUpdate {
  readonly node: string;
  /** Revision before the changes; undefined when they do not fit and the state must be fetched. */
  readonly since: number | undefined;
  readonly revision: number;
  /** Era of the source; gateways of the previous release don't tell it. */
  readonly era?: number;
  readonly configVersion: number;
  /** Time since the last response of the source, ms. */
  readonly sourceAgeMs: number;
  readonly targets: readonly TargetRecord[];
  /** Ids of the targets that are no longer listed. */
  readonly gone: readonly string[];
  readonly evacuated: readonly string[];
}

type TargetRow = readonly [
  id: string,
  service: string,
  address: string,
  failureDomain: string,
  region: string,
  slots: number,
  draining: 0 | 1,
  coldForMs: number,
  bornAt: number,
  /** Not told by gateways of the previous release. */
  softwareVersion?: string,
];

interface UpdateParams {
  readonly n: string;
  readonly s: number | null;
  readonly r: number;
  readonly c: number;
  readonly a: number;
  readonly t: readonly TargetRow[];
  /** Revisions of the entries in `t`, in their order; 0 if unknown. */
  readonly v?: readonly number[];
  readonly g: readonly string[];
  readonly e: readonly string[];
  readonly era?: number;
}

/**
 * Computes the changes from one state to a later one.
 *
 * @example changesBetween(before, after) // { since: 12, targets: [...], gone: ['i-3'] }
 */
export function changesBetween(
  before: FleetState,
  after: FleetState,
): Pick<FleetUpdate, 'since' | 'targets' | 'gone'> {
  const known = new Map(before.targets.map((record) => [record.id, record]));
  const listed = new Set(after.targets.map(({ id }) => id));
  const targets = after.targets.filter((record) => known.get(record.id) !== record);
  const gone = before.targets.map(({ id }) => id).filter((id) => !listed.has(id));
  // A gateway may have read more of the earlier era than this one, which is gone now.
  const fits = before.era === after.era && targets.length + gone.length <= MAX_TARGETS;
  return fits
    ? { since: before.revision, targets, gone }
    : { since: undefined, targets: [], gone: [] };
}

/** Encodes an update into a datagram. */
export function encodeFleetUpdate(update: FleetUpdate): Buffer {
  const params: UpdateParams = {
    n: update.node,
    s: update.since ?? null,
    r: update.revision,
    c: update.configVersion,
    a: Math.round(update.sourceAgeMs),
    t: update.targets.map(toRow),
    v: update.targets.map(({ revision }) => revision ?? 0),
    g: update.gone,
    e: update.evacuated,
    ...(update.era === undefined ? {} : { era: update.era }),
  };
  return encodeNotification(METHOD, params);
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeFleetUpdate({ method, params }: Notification): FleetUpdate | undefined {
  if (method !== METHOD) return undefined;
  const { n, s, r, c, a, t, v = [], g, e, era: toldEra } = params as UpdateParams;
  const era = readEra(toldEra);
  return {
    node: n,
    since: s ?? undefined,
    revision: r,
    configVersion: c,
    sourceAgeMs: a,
    targets: t.map((row, index) => withRevision(fromRow(row), v[index])),
    gone: g,
    evacuated: e,
    ...(era === undefined ? {} : { era }),
  };
}

function withRevision(record: TargetRecord, revision: number | undefined): TargetRecord {
  return revision ? { ...record, revision } : record;
}

function toRow(record: TargetRecord): TargetRow {
  const { softwareVersion } = record;
  const row = [
    record.id,
    record.service,
    record.address,
    record.failureDomain,
    record.region,
    record.slots,
    record.draining ? 1 : 0,
    record.coldForMs,
    record.bornAt,
  ] as const;
  return softwareVersion === undefined ? row : [...row, softwareVersion];
}

function fromRow(row: TargetRow): TargetRecord {
  const [id, service, address, failureDomain, region, slots, draining, coldForMs, bornAt, version] =
    row;
  return {
    id,
    service,
    address,
    failureDomain,
    region,
    slots,
    draining: draining === 1,
    coldForMs,
    bornAt,
    ...(version === undefined ? {} : { softwareVersion: version }),
  };
}
