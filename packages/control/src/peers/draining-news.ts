/**
 * Passes on at once that an entry began to drain: callers of all failure domains must find it gone
 * from the entry lists when its notice ends, which is sooner than summaries spread by gossip.
 */
import type { GossipParams, OriginUpdate, RandomSource } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';
import { controlsInOtherDomains } from './controls-elsewhere.js';
import { pickRandom } from './pick-random.js';

/** Control daemons of each other failure domain that are told; one of them may be gone. */
const RECIPIENTS_PER_DOMAIN = 2;

export interface DrainingAnnouncerOptions {
  readonly state: ControlState;
  readonly random: RandomSource;
  /** Addresses of the other live control daemons of the failure domain. */
  readonly peerAddresses: () => readonly string[];
  readonly buildMessage: (
    address: string,
    own: boolean,
    withSummaries: boolean,
    region?: string,
  ) => GossipParams;
  readonly send: (address: string, params: GossipParams) => void;
}

export class DrainingAnnouncer {
  constructor(private readonly options: DrainingAnnouncerOptions) {}

  /**
   * Sends what the summaries show since the last call. The publisher of a failure domain tells all
   * others, and a daemon that hears of it from there tells its own failure domain.
   */
  announce(isFromOwnDomain: boolean, isPublisher: boolean): void {
    const { state, random, peerAddresses: peers, buildMessage: message, send } = this.options;
    const domains = state.summaries.takeNewlyDraining();
    const { failureDomain } = state.self;
    if (domains.includes(failureDomain) && isPublisher) {
      [...controlsInOtherDomains(state).values()]
        .flatMap((controls) => pickRandom(random, controls, RECIPIENTS_PER_DOMAIN))
        .forEach(({ address, region }) => send(address, message(address, false, false, region)));
    }
    const others = domains.filter((domain) => domain !== failureDomain);
    if (others.length === 0 || isFromOwnDomain) return;
    const summaries = state.summaries.fullUpdatesOf(others, state.timers.now());
    peers().forEach((address) => send(address, { ...message(address, true, false), summaries }));
  }
}

/** @example hasDrainingEntry([{ bootId: 'a', heartbeat: 1, revision: 1 }]) // false */
export function hasDrainingEntry(origins: readonly OriginUpdate[]): boolean {
  return origins.some(({ entries }) => entries?.some(([, { load }]) => load?.draining));
}
