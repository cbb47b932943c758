/**
 * Converts gossip messages to and from a compact encoding, which refers to daemons and failure
 * domains by position. Both sides must know the same names; digests of the names show that.
 */
import {
  namesDigest,
  packHeartbeats,
  packOrigin,
  packSummaries,
  unpackHeartbeats,
  unpackOrigin,
  unpackSummaries,
  unpackVersions,
  type GossipParams,
} from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

type NameDigests = Pick<GossipParams, 'order' | 'names'>;

export class GossipPacker {
  /** Digests in the last message of each peer, by address. */
  private readonly peerDigests = new Map<string, NameDigests>();

  constructor(private readonly state: ControlState) {}

  /** Whether the last message from `address` showed the same known control daemons as here. */
  hasSameMembers(address: string): boolean {
    return this.peerDigests.get(address)?.order === this.currentNames().order;
  }

  /** Encodes a message for `address`; parts with a different digest there are sent with names. */
  pack(message: GossipParams, address: string): GossipParams {
    const { heartbeats, origins, summaryVersions, summaries, ...rest } = message;
    const { members, order, domains, names } = this.currentNames();
    const peer = this.peerDigests.get(address);
    const { revision } = rest;
    return {
      ...rest,
      names,
      ...(origins && { order }),
      ...(origins && peer?.order === order
        ? {
            ...(heartbeats && { beats: packHeartbeats(members, heartbeats) }),
            packedOrigins: origins.map((update) => packOrigin(members, update, revision)),
          }
        : { ...(heartbeats && { heartbeats }), ...(origins && { origins }) }),
      ...(peer?.names === names
        ? { summaries: [], packedSummaries: packSummaries(domains, summaryVersions, summaries) }
        : { ...(summaryVersions && { summaryVersions }), summaries }),
    };
  }

  /** Decodes a message; compact parts whose digest differs from the local one are dropped. */
  unpack(message: GossipParams): GossipParams {
    const { beats, packedOrigins, packedSummaries, ...rest } = message;
    const { members, order, domains, names } = this.currentNames();
    this.peerDigests.set(rest.from.peerAddress, { order: rest.order, names: rest.names });
    const versions =
      packedSummaries && rest.names === names && unpackVersions(domains, packedSummaries);
    return {
      ...rest,
      ...(rest.order === order && {
        ...(beats && { heartbeats: unpackHeartbeats(members, beats) }),
        ...(packedOrigins && {
          origins: packedOrigins.map((packed) => unpackOrigin(members, packed, rest.revision)),
        }),
      }),
      ...(versions && { summaryVersions: versions }),
      ...(packedSummaries &&
        rest.names === names && {
          summaries: unpackSummaries(domains, packedSummaries, (name) =>
            this.state.summaries.regionOf(name),
          ),
        }),
    };
  }

  private currentNames() {
    const members = this.state.members.bootIds();
    const domains = this.state.summaries.failureDomains();
    return { members, domains, order: namesDigest(members), names: namesDigest(domains) };
  }
}
