/** SLO-aware fairness index with credits, after the paper "Experiential Fairness" (ExFairS). */
import { leastBy } from '../routing/target-load.js';
import type { AdmissionOutcome, AdmissionRequest, FairnessPolicy } from './admission-policy.js';

/** Constants of the paper and limits that it leaves to the implementation. */
export const ExFairS = {
  /** Weight of the violation rate (a). */
  ViolationWeight: 0.7,
  /** Minimum index gap between two customers for a transfer (b). */
  GapThreshold: 0.1,
  TransferScale: 5,
  MaxAdvance: 16,
  InitialCredits: 20,
  /** Interval between transfers. */
  RoundMs: 1000,
  /** Factor applied to the accounts in each round. */
  Decay: 0.9,
} as const;

interface Account {
  readonly customer: string;
  ended: number;
  violations: number;
  usage: number;
  credits: number;
  /** Number of requests that are admitted first. */
  bonus: number;
  /** Number of times that the customer's turn is skipped. */
  debt: number;
}

/** An account with nothing queued is removed when its `ended` count decays below this value. */
const MIN_ENDED_REQUESTS = 0.01;

/**
 * The index of a customer is `a * violation rate + (1 - a) * usage / highest usage`. A higher index
 * means worse service, since the violation rate has the higher weight. Each round pairs the highest
 * with the lowest index; the customer with worse service pays credits for earlier admissions. A new
 * request is queued ahead of a share of the requests of customers with a lower index.
 *
 * @example new ExperientialFairnessPolicy().pop(0) // undefined
 */
export class ExperientialFairnessPolicy implements FairnessPolicy {
  readonly name = 'experiential';

  private order: AdmissionRequest[] = [];

  private readonly accounts = new Map<string, Account>();

  private roundAt = 0;

  get size(): number {
    return this.order.length;
  }

  push(req: AdmissionRequest): void {
    const index = this.computeIndexes();
    this.account(req.customer);
    const customerIndex = index.get(req.customer) ?? 0;
    const isLower = (customer: string): boolean => (index.get(customer) ?? 0) < customerIndex;
    const lowerShare = [...index.keys()].filter(isLower).length / Math.max(1, index.size - 1);
    const lowerRequests = this.order.filter(({ customer }) => isLower(customer)).length;
    const advance = Math.min(ExFairS.MaxAdvance, Math.floor(lowerShare * lowerRequests));
    this.order.splice(this.order.length - advance, 0, req);
  }

  pop(
    now: number,
    mayRun: (customer: string) => boolean = () => true,
  ): AdmissionRequest | undefined {
    this.runRound(now);
    const eligible = this.order.filter(({ customer }) => mayRun(customer));
    const chosen = this.takeBonus(eligible) ?? this.takeInOrder(eligible);
    return chosen && this.remove(chosen.id);
  }

  remove(id: string): AdmissionRequest | undefined {
    const at = this.order.findIndex((req) => req.id === id);
    return at < 0 ? undefined : this.order.splice(at, 1)[0];
  }

  onFinished(req: AdmissionRequest, { cost, firstTokenMs }: AdmissionOutcome, now: number): void {
    const account = this.account(req.customer);
    account.ended += 1;
    account.violations += (firstTokenMs ?? Infinity) > req.latencyTargetMs ? 1 : 0;
    account.usage += cost;
    this.runRound(now);
  }

  queuedCountOf(customer: string): number {
    return this.order.filter((req) => req.customer === customer).length;
  }

  queued(): readonly AdmissionRequest[] {
    return [...this.order];
  }

  private account(customer: string): Account {
    const known = this.accounts.get(customer);
    if (known) return known;
    const account: Account = {
      customer,
      ended: 0,
      violations: 0,
      usage: 0,
      credits: ExFairS.InitialCredits,
      bonus: 0,
      debt: 0,
    };
    this.accounts.set(customer, account);
    return account;
  }

  private computeIndexes(): Map<string, number> {
    const accounts = [...this.accounts.values()];
    const highest = Math.max(1, ...accounts.map(({ usage }) => usage));
    return new Map(
      accounts.map(({ customer, ended, violations, usage }) => [
        customer,
        (ExFairS.ViolationWeight * violations) / Math.max(1, ended) +
          ((1 - ExFairS.ViolationWeight) * usage) / highest,
      ]),
    );
  }

  private runRound(now: number): void {
    if (now - this.roundAt < ExFairS.RoundMs) return;
    this.roundAt = now;
    const sorted = [...this.computeIndexes()].sort(([, a], [, b]) => b - a);
    sorted.slice(0, Math.floor(sorted.length / 2)).forEach(([worse, high], at) => {
      const [better, low] = sorted[sorted.length - 1 - at] ?? [worse, high];
      this.transfer(this.account(worse), this.account(better), high - low);
    });
    this.decay();
  }

  private transfer(worse: Account, better: Account, gap: number): void {
    const amount = Math.round(gap * ExFairS.TransferScale);
    if (gap < ExFairS.GapThreshold || worse.credits < amount) return;
    Object.assign(worse, { credits: worse.credits - amount, bonus: worse.bonus + amount });
    Object.assign(better, { credits: better.credits + amount, debt: better.debt + amount });
  }

  private decay(): void {
    const waiting = new Set(this.order.map(({ customer }) => customer));
    [...this.accounts.values()].forEach((account) => {
      Object.assign(account, {
        ended: account.ended * ExFairS.Decay,
        violations: account.violations * ExFairS.Decay,
        usage: account.usage * ExFairS.Decay,
      });
      if (account.ended < MIN_ENDED_REQUESTS && !waiting.has(account.customer)) {
        this.accounts.delete(account.customer);
      }
    });
  }

  private takeBonus(eligible: readonly AdmissionRequest[]): AdmissionRequest | undefined {
    const req = eligible.find(({ customer }) => this.account(customer).bonus > 0);
    if (req) this.account(req.customer).bonus -= 1;
    return req;
  }

  private takeInOrder(eligible: readonly AdmissionRequest[]): AdmissionRequest | undefined {
    const [first] = eligible;
    if (!first) return undefined;
    const debtor = this.account(first.customer);
    if (debtor.debt === 0) return first;
    debtor.debt -= 1;
    return leastBy(eligible, ({ customer }) => this.account(customer).debt);
  }
}
