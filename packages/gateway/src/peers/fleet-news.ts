/** What a gateway that watches the source tells the others of its region. */
import type { FleetState, TargetRecord } from '@marjoramcart/core';
import { encodeNotification, type Notification } from './notification.js';

const METHOD = 'fleet.news';
/** Changed targets in one message, which keeps a datagram within one packet. */
const MAX_TARGETS = 8;

/** Changes of the state between two revisions. */
export interface FleetUpdate {
  readonly node: string;
  /** Undefined when the changes do not fit: the whole state has to be fetched. */
  readonly since: number | undefined;
  readonly revision: number;
  readonly configVersion: number;
  /** Age of the last answer of the source, ms. */
  readonly sourceAgeMs: number;
  readonly targets: readonly TargetRecord[];
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
];

interface NewsParams {
  readonly n: string;
  readonly s: number | null;
  readonly r: number;
  readonly c: number;
  readonly a: number;
  readonly t: readonly TargetRow[];
  readonly g: readonly string[];
  readonly e: readonly string[];
}

/**
 * Changes that lead from one state to a later one.
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
  const fits = targets.length + gone.length <= MAX_TARGETS;
  return fits
    ? { since: before.revision, targets, gone }
    : { since: undefined, targets: [], gone: [] };
}

/** Encodes news into a datagram. */
export function encodeFleetUpdate(news: FleetUpdate): Buffer {
  const params: NewsParams = {
    n: news.node,
    s: news.since ?? null,
    r: news.revision,
    c: news.configVersion,
    a: Math.round(news.sourceAgeMs),
    t: news.targets.map(toRow),
    g: news.gone,
    e: news.evacuated,
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
  const { n, s, r, c, a, t, g, e } = params as NewsParams;
  return {
    node: n,
    since: s ?? undefined,
    revision: r,
    configVersion: c,
    sourceAgeMs: a,
    targets: t.map(fromRow),
    gone: g,
    evacuated: e,
  };
}

function toRow(record: TargetRecord): TargetRow {
  return [
    record.id,
    record.service,
    record.address,
    record.failureDomain,
    record.region,
    record.slots,
    record.draining ? 1 : 0,
    record.coldForMs,
    record.bornAt,
  ];
}

function fromRow(row: TargetRow): TargetRecord {
  const [id, service, address, failureDomain, region, slots, draining, coldForMs, bornAt] = row;
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
  };
}
