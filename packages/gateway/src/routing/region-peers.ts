/** Finds gateways of the local region that reach its targets while this one doesn't. */
import {
  GatewayPhase,
  sampleItems,
  type Candidate,
  type GatewayRecord,
  type RandomSource,
} from '@marjoramcart/core';
import type { GossipTask } from '../peers/gossip-task.js';

/** Gateways that are offered for one call; another one is tried if the first refuses it. */
const MAX_PEERS = 2;

export interface RegionPeersDeps {
  readonly region: string;
  readonly gossip: Pick<GossipTask, 'regionPeers' | 'roundTripMs'>;
  readonly random: RandomSource;
}

export class RegionPeers {
  constructor(private readonly deps: RegionPeersDeps) {}

  /**
   * Candidates that lead to a local target through another gateway. They are chosen at random, which
   * spreads the calls over those that can take them.
   *
   * @param best the best target, as if this gateway could reach it
   * @example peers.candidates(ranked[0])
   */
  candidates(best: Candidate): Candidate[] {
    const { region, gossip, random } = this.deps;
    return sampleItems(this.reaching(), MAX_PEERS, random).map(({ node }, index): Candidate => {
      const { fetchFrom, ...expected } = best;
      const roundTripMs = gossip.roundTripMs(node);
      return {
        ...expected,
        destination: { kind: 'peer', node, region },
        expectedFirstByteMs: best.expectedFirstByteMs + roundTripMs,
        ...(best.deferredFirstByteMs === undefined
          ? {}
          : { deferredFirstByteMs: best.deferredFirstByteMs + roundTripMs }),
        costMs: best.costMs + roundTripMs + index,
      };
    });
  }

  private reaching(): readonly GatewayRecord[] {
    return this.deps.gossip
      .regionPeers()
      .filter(({ phase, cutOff }) => phase === GatewayPhase.Ready && cutOff !== true);
  }
}
