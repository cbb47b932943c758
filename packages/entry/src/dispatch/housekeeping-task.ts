/** Periodic maintenance of shared tables; closes the outgoing connections at shutdown. */
import type { KeyTable, RetryBudget, SuspectTable } from '@marjoramcart/core';
import type { RpcClient, Task, TimerService, Unsubscribe, HttpClient } from '@marjoramcart/runtime';
import type { AdmissionGate } from '../admission/admission-gate.js';
import type { RecordedResponse } from '../relay/caller-response.js';
import type { EntryState } from '../state/entry-state.js';

const ADMISSION_INTERVAL_MS = 50;
const EXPIRY_INTERVAL_MS = 1000;

export interface HousekeepingOptions {
  readonly timers: TimerService;
  readonly keys: KeyTable<RecordedResponse>;
  readonly gate: AdmissionGate;
  readonly suspects: SuspectTable;
  readonly budget: RetryBudget;
  readonly state: EntryState;
  readonly rpc: RpcClient;
  readonly httpClient: HttpClient;
}

export class HousekeepingTask implements Task {
  readonly name = 'housekeeping';

  private readonly subscriptions: Unsubscribe[] = [];

  constructor(private readonly options: HousekeepingOptions) {}

  start(): Promise<void> {
    const { timers, keys, gate, suspects, budget, state } = this.options;
    this.subscriptions.push(
      timers.every(ADMISSION_INTERVAL_MS, () => gate.tick()),
      timers.every(EXPIRY_INTERVAL_MS, () => {
        keys.removeExpired(timers.wall());
        suspects.expire(timers.now());
        const percent = state.config?.limits.retry_budget_percent;
        if (percent !== undefined) budget.setRatio(percent / 100);
      }),
    );
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.options.rpc.close();
    this.options.httpClient.close();
    return Promise.resolve();
  }
}
