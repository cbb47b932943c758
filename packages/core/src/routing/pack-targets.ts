/** Selects the targets that a service uses when its requests are packed. */
import { rendezvousOrder } from '../rendezvous.js';
import type { RoutedRequest, TargetCandidate } from './routing-policy.js';
import { correctedOutstanding } from './target-load.js';

export interface PackOptions {
  /** Share of a target's concurrency that counts as capacity. */
  readonly packFill: number;
  /** A target with a longer reported wait counts as full, ms. */
  readonly packWaitMs: number;
}

/**
 * Returns the first targets in the service's rendezvous order with enough capacity for all its
 * requests and one more. All processes use the same order, so they leave the same targets idle.
 * Prefills run one at a time and can delay a target long before its slots are used, so the reported
 * wait counts too.
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
  let capacity = 0;
  return rendezvousOrder(service, [...byVm.keys()])
    .flatMap((vm) => byVm.get(vm) ?? [])
    .filter(({ state }) => {
      const isNeeded = capacity < requests;
      capacity += state.waitMs > packWaitMs ? 0 : packFill * state.concurrency;
      return isNeeded;
    });
}
