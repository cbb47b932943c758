/** Publishes the summary of the local failure domain for the others, which forward calls by it. */
import { isSummaryPublisher, summarizeEntries, summarizeServices } from '@marjoramcart/core';
import { WARM_UP_TIMEOUT_MS, type ControlState } from '../control-state.js';

export class SummaryPublisher {
  private publisher = false;

  private warmedUp = false;

  constructor(private readonly state: ControlState) {}

  /** Whether this daemon was the publisher of its failure domain at the last call of `publish`. */
  get isPublisher(): boolean {
    return this.publisher;
  }

  /**
   * Publishes the current summary if this daemon is the publisher. A daemon that has just started
   * takes itself for the only one of its failure domain; its summary would be newer than that of
   * the previous publisher, and would tell the other failure domains that nothing is ready here.
   */
  publish(): void {
    const { state } = this;
    const { failureDomain, bootId } = state.self;
    this.publisher =
      this.knowsDomain() && isSummaryPublisher(failureDomain, bootId, state.liveControlIds());
    if (!this.publisher) return;
    const services = Object.keys(state.cfg?.services ?? {});
    state.summaries.publish(
      summarizeServices(services, state.targetStates()),
      summarizeEntries(state.processes().filter(({ load }) => load)),
      { nowMs: state.timers.now(), wallMs: state.timers.wall() },
    );
  }

  /**
   * Whether this daemon has known all targets and entries of the failure domain's list of VMs, or
   * the warm-up timeout has passed: a VM may have failed without leaving the list.
   */
  private knowsDomain(): boolean {
    const { state } = this;
    this.warmedUp ||= state.uptimeMs >= WARM_UP_TIMEOUT_MS || this.isComplete();
    return this.warmedUp;
  }

  private isComplete(): boolean {
    const { vms, targets, self, cfg } = this.state;
    if (!cfg || vms.current.version === 0 || !targets.allProbed) return false;
    const withEntry = new Set(
      this.state
        .processes()
        .filter(({ load }) => load)
        .map(({ process }) => process.vm),
    );
    return vms.vmsOf(self.failureDomain, 'entry').every(({ vm }) => withEntry.has(vm));
  }
}
