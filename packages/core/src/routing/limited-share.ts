/**
 * Decides which requests may use the share of a target that has limited its number of requests.
 *
 * While other targets of the service are not limited, large prompts may use all of it: the limit does
 * not count their size, so that they relieve the other targets most. Once those targets are late, any
 * request may. When all targets are limited, requests are refused in any case, and the least urgent
 * ones leave a part to the others.
 */
import type { Prompt } from './prompt.js';

/** Part of the share that is open to requests which may not use all of it. */
const PARTIAL_SHARE = 0.5;
/** Weight of a new prompt in the mean length. */
const MEAN_WEIGHT = 0.02;

export interface LimitedShareRequest {
  /** Whether another target of the service is usable and not limited. */
  readonly hasUnlimitedTarget: boolean;
  /** Whether its prompt is long for its service; true for requests without a prompt. */
  readonly isLarge: boolean;
  /** Whether no route of the service is less urgent. */
  readonly isLeastUrgent: boolean;
  /** Whether the targets without a limit are expected to respond late. */
  readonly isLate: boolean;
}

/**
 * The part of a gateway's share at a limited target that a request may use.
 *
 * @param share requests that this gateway may send within the rate window
 * @example usableShare(8, { hasUnlimitedTarget: true, isLarge: false, isLeastUrgent: false, isLate: false }) // 4
 */
export function usableShare(share: number, req: LimitedShareRequest): number {
  const usesAll = req.hasUnlimitedTarget ? req.isLarge || req.isLate : !req.isLeastUrgent;
  return usesAll ? share : Math.ceil(share * PARTIAL_SHARE);
}

/** Tells large prompts of a service from small ones. */
export class PromptSizes {
  private readonly meanTokens = new Map<string, number>();

  /** Counts a prompt that is sent to a target of a service. */
  onSend(service: string, { promptTokens }: Prompt): void {
    const mean = this.meanTokens.get(service) ?? promptTokens;
    this.meanTokens.set(service, mean + (promptTokens - mean) * MEAN_WEIGHT);
  }

  /**
   * Whether a prompt is at least as long as the mean of its service.
   *
   * @example sizes.isLarge('model', { segments: [], promptTokens: 12_000, maxOutputTokens: 80, expectedOutputTokens: 40 })
   */
  isLarge(service: string, { promptTokens }: Prompt): boolean {
    return promptTokens >= (this.meanTokens.get(service) ?? 0);
  }
}
