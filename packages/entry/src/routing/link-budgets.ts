/** Byte budgets of the links from the local region, from their configured rate and share. */
import { LinkBudget } from '@marjoramcart/core';
import type { EntryState } from '../state/entry-state.js';
import { linkOf } from './links.js';

interface CachedBudget {
  readonly mbitPerS: number;
  readonly sharePercent: number;
  readonly budget: LinkBudget;
}

export class LinkBudgets {
  private readonly budgets = new Map<string, CachedBudget>();

  constructor(
    private readonly state: EntryState,
    private readonly now: () => number,
  ) {}

  /** Bytes that this process may send to the region now; undefined if the link has no limit. */
  available(region: string): number | undefined {
    return this.budget(region)?.available(this.now());
  }

  /** Counts bytes of forwarded calls and of their responses. */
  spend(region: string, bytes: number): void {
    this.budget(region)?.spend(bytes, this.now());
  }

  private budget(region: string): LinkBudget | undefined {
    const { config, self, view } = this.state;
    const { mbitPerS } = linkOf(this.state, self.region, region);
    if (!config || mbitPerS === undefined) return undefined;
    // All entries of the region share the link.
    const entries = Math.max(1, view.entriesPerRegion[self.region] ?? 1);
    const sharePercent = config.limits.link_share_percent / entries;
    const cached = this.budgets.get(region);
    if (cached?.mbitPerS === mbitPerS && cached.sharePercent === sharePercent) return cached.budget;
    const budget = new LinkBudget(mbitPerS, sharePercent, this.now());
    // Changing the share must not refill the budget.
    const level = cached?.budget.available(this.now()) ?? Infinity;
    budget.spend(Math.max(0, budget.available(this.now()) - level), this.now());
    this.budgets.set(region, { mbitPerS, sharePercent, budget });
    return budget;
  }
}
