/** Turns gossip into its short forms for peers that know the same names, and back. */
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
  /** Digests that each peer sent last, by address. */
  private readonly peerDigests = new Map<string, NameDigests>();

  constructor(private readonly state: ControlState) {}

  /** Whether the daemon at `address` last knew the same control daemons as this one. */
  hasSameMembers(address: string): boolean {
    return this.peerDigests.get(address)?.order === this.currentNames().order;
  }

  /** Short form of a message for the daemon at `address`, as far as its last digests allow. */
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

  /** The message with names. Short forms in another order than the present one are left out. */
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
