/** Which targets a service uses when its requests are packed. */
import { rendezvousOrder } from '../rendezvous.js';
import type { RoutedRequest, TargetCandidate } from './routing-policy.js';
import { correctedOutstanding } from './target-load.js';

export interface PackOptions {
  /** Part of a target's concurrency that counts as room. */
  readonly packFill: number;
  /** A target whose reported wait is longer has no room, in ms. */
  readonly packWaitMs: number;
}

/**
 * The first targets in the service's rendezvous order that hold all its requests and one more. All
 * processes share the order, so that they leave the same targets idle. Prefills run one after the
 * other and can hold a target up long before its slots are used, so the reported wait counts too.
 *
 * @example packTargets(req, candidates, { packFill: 0.7, packWaitMs: 200 })
 */
export function packTargets(
  { service }: RoutedRequest,
  candidates: readonly TargetCandidate[],
  { packFill, packWaitMs }: PackOptions,
): readonly TargetCandidate[] {
  const byVm = new Map(candidates.map((candidate) => [candidate.state.vm, candidate]));
  const requests = candidates.reduce((sum, candidate) => sum + correctedOutstanding(candidate), 1);
  let room = 0;
  return rendezvousOrder(service, [...byVm.keys()])
    .flatMap((vm) => byVm.get(vm) ?? [])
    .filter(({ state }) => {
      const isNeeded = room < requests;
      room += state.waitMs > packWaitMs ? 0 : packFill * state.concurrency;
      return isNeeded;
    });
}
