/**
 * Announces at once that an entry started to drain. All failure domains must remove the entry from
 * their entry lists before its notice period ends, and periodic gossip of summaries is too slow.
 */
import type { GossipParams, OriginUpdate, RandomSource } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';
import { controlsInOtherDomains } from './controls-in-other-domains.js';
import { pickRandom } from './pick-random.js';

/** Control daemons notified in each other failure domain; two, since one may be unreachable. */
const RECIPIENTS_PER_DOMAIN = 2;

export interface DrainingAnnouncerOptions {
  readonly state: ControlState;
  readonly random: RandomSource;
  /** Addresses of the other live control daemons of the failure domain. */
  readonly peerAddresses: () => readonly string[];
  readonly buildMessage: (
    address: string,
    isLocal: boolean,
    withSummaries: boolean,
    region?: string,
  ) => GossipParams;
  readonly send: (address: string, params: GossipParams) => void;
}

export class DrainingAnnouncer {
  constructor(private readonly options: DrainingAnnouncerOptions) {}

  /**
   * Announces entries that started to drain since the last call. The publisher of a failure domain
   * notifies all other failure domains; the daemons notified there forward it within their own.
   */
  announce(isFromLocalDomain: boolean, isPublisher: boolean): void {
    const { state, random, peerAddresses, buildMessage, send } = this.options;
    const domains = state.summaries.takeNewlyDraining();
    const { failureDomain } = state.self;
    if (domains.includes(failureDomain) && isPublisher) {
      [...controlsInOtherDomains(state).values()]
        .flatMap((controls) => pickRandom(random, controls, RECIPIENTS_PER_DOMAIN))
        .forEach(({ address, region }) =>
          send(address, buildMessage(address, false, false, region)),
        );
    }
    const others = domains.filter((domain) => domain !== failureDomain);
    if (others.length === 0 || isFromLocalDomain) return;
    const summaries = state.summaries.fullUpdatesOf(others, state.timers.now());
    peerAddresses().forEach((address) =>
      send(address, { ...buildMessage(address, true, false), summaries }),
    );
  }
}

/**
 * Whether an update contains a draining entry.
 *
 * @example hasDrainingEntry([{ bootId: 'a', heartbeat: 1, revision: 1 }]) // false
 */
export function hasDrainingEntry(origins: readonly OriginUpdate[]): boolean {
  return origins.some(({ entries }) => entries?.some(([, { load }]) => load?.draining));
}
