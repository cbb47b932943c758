/** Gossip between gateways: JSON-RPC notifications in datagrams, with short lists for records. */
import { createJSONRPCNotification } from 'json-rpc-2.0';
import {
  GatewayPhase,
  type GatewayRecord,
  type PeerWork,
  type RegionWork,
} from '@marjoramcart/core';

const METHOD = 'gateway.gossip';
const PHASES = [
  GatewayPhase.Starting,
  GatewayPhase.Ready,
  GatewayPhase.Draining,
  GatewayPhase.Closing,
] as const;

export interface GossipMessage {
  readonly from: GatewayRecord;
  /** Records of other gateways. */
  readonly others: readonly GatewayRecord[];
  /** Work of the sender at targets of its region; only for gateways of the same region. */
  readonly targetWork: Readonly<Record<string, PeerWork>>;
  /** Sender's clock, ms. */
  readonly sentAt: number;
  /** `sentAt` of the receiver's last message, with the time since it arrived, ms. */
  readonly echo?: { readonly sentAt: number; readonly heldMs: number };
}

type RecordRow = readonly [
  node: string,
  bootAt: number,
  beat: number,
  phase: number,
  region: string,
  failureDomain: string,
  ip: string,
  configVersion: number,
  revision: number,
  work: Readonly<Record<string, readonly [number, number, number, number]>>,
];

interface MessageParams {
  readonly f: RecordRow;
  readonly o: readonly RecordRow[];
  readonly w: Readonly<Record<string, readonly [number, number]>>;
  readonly t: number;
  readonly e?: readonly [number, number];
}

/** Encodes a message into a datagram. */
export function encodeGossip(message: GossipMessage): Buffer {
  const params: MessageParams = {
    f: toRow(message.from),
    o: message.others.map(toRow),
    w: mapValues(message.targetWork, ({ requests, pendingTokens }) => [requests, pendingTokens]),
    t: message.sentAt,
    ...(message.echo ? { e: [message.echo.sentAt, message.echo.heldMs] as const } : {}),
  };
  return Buffer.from(JSON.stringify(createJSONRPCNotification(METHOD, params)));
}

/**
 * Decodes a datagram.
 *
 * @returns undefined when the bytes are no gossip message
 */
export function decodeGossip(datagram: Buffer): GossipMessage | undefined {
  try {
    const { method, params } = JSON.parse(datagram.toString('utf8')) as {
      method: unknown;
      params: MessageParams;
    };
    if (method !== METHOD) return undefined;
    return {
      from: fromRow(params.f),
      others: params.o.map(fromRow),
      targetWork: mapValues(params.w, ([requests, pendingTokens]) => ({ requests, pendingTokens })),
      sentAt: params.t,
      ...(params.e ? { echo: { sentAt: params.e[0], heldMs: params.e[1] } } : {}),
    };
  } catch {
    return undefined;
  }
}

function toRow(record: GatewayRecord): RecordRow {
  return [
    record.node,
    record.bootAt,
    record.beat,
    PHASES.indexOf(record.phase),
    record.region,
    record.failureDomain,
    record.ip,
    record.configVersion,
    record.revision,
    mapValues(record.regionWork, (work) => [
      work.targets,
      work.slots,
      work.requests,
      Math.round(work.pendingTokens),
    ]),
  ];
}

function fromRow(row: RecordRow): GatewayRecord {
  const [node, bootAt, beat, phase, region, failureDomain, ip, configVersion, revision, work] = row;
  const regionWork: Record<string, RegionWork> = mapValues(
    work,
    ([targets, slots, requests, pendingTokens]) => ({ targets, slots, requests, pendingTokens }),
  );
  return {
    node,
    bootAt,
    beat,
    phase: PHASES[phase] ?? GatewayPhase.Starting,
    region,
    failureDomain,
    ip,
    configVersion,
    revision,
    regionWork,
  };
}

function mapValues<Value, Result>(
  record: Readonly<Record<string, Value>>,
  fn: (value: Value) => Result,
): Record<string, Result> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, fn(value)]));
}
