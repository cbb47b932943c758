/** Runs suspects alone: each on a target that takes no other request of this process meanwhile. */
import type { TimerService } from '@marjoramcart/runtime';
import type { TargetTable } from '../routing/target-table.js';

const POLL_MS = 20;
/** A long stream on the target must not block a suspect for its whole length. */
const MAX_WAIT_FOR_IDLE_MS = 2000;
/** Share of a service's targets that suspects may hold at the same time. */
const MAX_SHARE = 0.25;

export class SuspectQueue {
  private held = 0;

  constructor(
    private readonly targets: TargetTable,
    private readonly timers: TimerService,
  ) {}

  /** Reserves a target; undefined when none became free in time or none is ready. */
  async acquire(
    service: string,
    excluded: ReadonlySet<string>,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const ready = this.targets.candidates(service, excluded);
    if (ready.length === 0 || signal.aborted || this.timers.now() >= deadlineAt) return undefined;
    const limit = Math.max(1, Math.floor(ready.length * MAX_SHARE));
    const [best] = ready
      .filter(({ state }) => !this.targets.isReserved(state.vm))
      .sort((a, b) => a.inFlight - b.inFlight || a.state.running - b.state.running);
    if (this.held >= limit || !best || !this.targets.reserve(best.state.vm)) {
      await this.delay();
      return this.acquire(service, excluded, deadlineAt, signal);
    }
    this.held += 1;
    await this.waitIdle(
      best.state.vm,
      Math.min(deadlineAt, this.timers.now() + MAX_WAIT_FOR_IDLE_MS),
    );
    return best.state.vm;
  }

  release(vm: string): void {
    this.held -= 1;
    this.targets.unreserve(vm);
  }

  private async waitIdle(vm: string, until: number): Promise<void> {
    if (this.targets.inFlight(vm) === 0 || this.timers.now() >= until) return;
    await this.delay();
    await this.waitIdle(vm, until);
  }

  private delay(): Promise<void> {
    return new Promise((resolve) => {
      this.timers.after(POLL_MS, resolve);
    });
  }
}
