/** Decides whether a call is forwarded and to which entry of the chosen failure domain. */
import {
  MembershipTiming,
  checkForward,
  correctedOutstanding,
  type DomainOption,
  type DomainPolicy,
  type DomainSummary,
  type ProcessRef,
  type RandomSource,
  type RoutedRequest,
  type TargetCandidate,
} from '@marjoramcart/core';
import type { ForwardTarget } from '../forward/forward-exchange.js';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';
import type { LinkBudgets } from './link-budgets.js';
import { linkOf } from './links.js';
import type { TargetTable } from './target-table.js';

export interface DomainChooserOptions {
  readonly self: ProcessRef;
  readonly state: EntryState;
  readonly targets: TargetTable;
  readonly policy: DomainPolicy;
  readonly links: LinkBudgets;
  readonly random: RandomSource;
}

export class DomainChooser {
  constructor(private readonly options: DomainChooserOptions) {}

  /**
   * Returns the entry to forward to, or undefined to run the call in the local failure domain.
   * `admissionWaitMs` is the expected wait for admission to the local window.
   */
  choose(
    call: Call,
    excluded: ReadonlySet<string>,
    localReady: boolean,
    admissionWaitMs: number,
  ): ForwardTarget | undefined {
    const { self, state, policy, random } = this.options;
    // A call that was forwarded because of load is not forwarded again.
    if (call.visited.some(({ failureDomain }) => failureDomain !== self.failureDomain)) {
      return undefined;
    }
    const summaries = this.eligible(call, excluded);
    if (summaries.length === 0) return undefined;
    const decision = policy.choose(
      this.routed(call),
      this.localOption(call, excluded, localReady, admissionWaitMs),
      summaries.map((summary) => this.remoteOption(summary, call)),
      call.config.weights,
    );
    const chosen = summaries.find(({ failureDomain }) => failureDomain === decision.failureDomain);
    if (!chosen) return undefined;
    const [entry] = nonDrainingEntries(chosen)
      .map((candidate) => ({ candidate, tie: random.next() }))
      .sort((a, b) => a.candidate.openRequests - b.candidate.openRequests || a.tie - b.tie);
    return (
      entry && {
        bootId: entry.candidate.bootId,
        peerAddress: entry.candidate.peerAddress,
        failureDomain: chosen.failureDomain,
        region: chosen.region,
        oneWayMs: linkOf(state, self.region, chosen.region).oneWayMs,
      }
    );
  }

  private eligible(call: Call, excluded: ReadonlySet<string>): DomainSummary[] {
    const { self, state } = this.options;
    const allowed = state.allowedRegions(call);
    const visited = [...call.visited, self];
    return state.view.summaries.filter(
      (summary) =>
        summary.failureDomain !== self.failureDomain &&
        !excluded.has(summary.failureDomain) &&
        summary.ageMs + state.viewAgeMs <= MembershipTiming.SummaryExpiryMs &&
        nonDrainingEntries(summary).length > 0 &&
        summary.services.some((s) => s.service === call.service && s.readyTargets > 0) &&
        checkForward(visited, { ...summary, bootId: '' }, 'load', allowed) === undefined,
    );
  }

  private localOption(
    call: Call,
    excluded: ReadonlySet<string>,
    localReady: boolean,
    admissionWaitMs: number,
  ): DomainOption {
    const { self, targets } = this.options;
    const candidates = targets.candidates(call.service, excluded);
    return {
      failureDomain: self.failureDomain,
      region: self.region,
      readyTargets: localReady ? candidates.length : 0,
      waitMs: admissionWaitMs + meanWaitMs(candidates),
      freeSlots: candidates.reduce(
        (sum, candidate) =>
          sum + Math.max(0, candidate.state.concurrency - correctedOutstanding(candidate)),
        0,
      ),
      ageMs: 0,
      oneWayMs: 0,
      prefillMs: this.prefillMs(call),
    };
  }

  private remoteOption(summary: DomainSummary, call: Call): DomainOption {
    const { self, state } = this.options;
    const service = summary.services.find((s) => s.service === call.service);
    const link = linkOf(state, self.region, summary.region);
    return {
      failureDomain: summary.failureDomain,
      region: summary.region,
      readyTargets: service?.readyTargets ?? 0,
      waitMs: service?.waitMs ?? 0,
      freeSlots: service?.freeSlots ?? 0,
      ageMs: summary.ageMs + state.viewAgeMs,
      oneWayMs: link.oneWayMs,
      linkMbitPerS: link.mbitPerS,
      linkBudgetBytes: this.options.links.available(summary.region),
      prefillMs: this.prefillMs(call),
    };
  }

  private routed({ config, routed }: Call): RoutedRequest {
    return config.kind === 'model' ? { ...routed, latencyTargetMs: config.first_token } : routed;
  }

  private prefillMs(call: Call): number {
    const model =
      call.config.kind === 'model'
        ? this.options.state.config?.models[call.config.model]
        : undefined;
    return model ? (call.routed.promptTokens / model.prefill_tokens_per_s) * 1000 : 0;
  }
}

function nonDrainingEntries(summary: DomainSummary): DomainSummary['entries'] {
  return summary.entries.filter(({ draining }) => !draining);
}

function meanWaitMs(candidates: readonly TargetCandidate[]): number {
  const total = candidates.reduce((sum, { state }) => sum + state.waitMs, 0);
  return total / Math.max(1, candidates.length);
}
