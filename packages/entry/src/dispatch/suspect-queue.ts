/** Reserves targets for suspect requests, so that this process sends no other request to them. */
import type { TimerService } from '@marjoramcart/runtime';
import type { TargetTable } from '../routing/target-table.js';
import type { SuspectOwners } from './suspect-owners.js';

const POLL_INTERVAL_MS = 20;
/** A suspect must not wait for a long stream on the target to end. */
const MAX_WAIT_FOR_IDLE_MS = 2000;
/** Share of a service's targets that may be reserved for suspects at the same time. */
const MAX_RESERVED_SHARE = 0.25;

export class SuspectQueue {
  private reservedTargets = 0;

  constructor(
    private readonly targets: TargetTable,
    private readonly timers: TimerService,
    private readonly owners: Pick<SuspectOwners, 'targetsOf'>,
  ) {}

  /** Reserves a target; undefined when none became available in time or none is ready. */
  async acquire(
    service: string,
    excluded: ReadonlySet<string>,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const ready = this.targets.candidates(service, excluded);
    if (ready.length === 0 || signal.aborted || this.timers.now() >= deadlineAt) return undefined;
    const limit = Math.max(1, Math.floor(ready.length * MAX_RESERVED_SHARE));
    const owned = this.owners.targetsOf(service);
    const ownReady = ready.filter(({ state }) => owned.has(state.vm));
    const [best] = (ownReady.length > 0 ? ownReady : ready)
      .filter(({ state }) => !this.targets.isReserved(state.vm))
      .sort((a, b) => a.inFlight - b.inFlight || a.state.running - b.state.running);
    if (this.reservedTargets >= limit || !best || !this.targets.reserve(best.state.vm)) {
      await this.delay();
      return this.acquire(service, excluded, deadlineAt, signal);
    }
    this.reservedTargets += 1;
    await this.waitIdle(
      best.state.vm,
      Math.min(deadlineAt, this.timers.now() + MAX_WAIT_FOR_IDLE_MS),
    );
    return best.state.vm;
  }

  release(vm: string): void {
    this.reservedTargets -= 1;
    this.targets.unreserve(vm);
  }

  private async waitIdle(vm: string, until: number): Promise<void> {
    if (this.targets.inFlight(vm) === 0 || this.timers.now() >= until) return;
    await this.delay();
    await this.waitIdle(vm, until);
  }

  private delay(): Promise<void> {
    return new Promise((resolve) => {
      this.timers.after(POLL_INTERVAL_MS, resolve);
    });
  }
}
