/** A call's place in the window of its service in the own failure domain. */
import type { AdmissionOutcome, ResultCode } from '@marjoramcart/core';
import type { Call } from '../request/call.js';
import type { Admission, AdmissionGate } from './admission-gate.js';

export class AdmissionSlot {
  private admission: Extract<Admission, { kind: 'admitted' }> | undefined;

  constructor(
    private readonly gate: AdmissionGate,
    private readonly call: Call,
    private readonly onLeft: (listener: () => void) => () => void,
  ) {}

  get held(): boolean {
    return this.admission !== undefined;
  }

  /** Expected wait for the place, ms. */
  get waitMs(): number {
    return this.held ? 0 : this.gate.expectedWaitMs(this.call);
  }

  /** Waits for the place; a code when it is refused, undefined when it is held or the caller left. */
  async acquire(): Promise<ResultCode | undefined> {
    const admission = await this.gate.admit(this.call, this.onLeft);
    if (admission.kind === 'refused') return admission.code;
    if (admission.kind === 'admitted') this.admission = admission;
    return undefined;
  }

  release(outcome: AdmissionOutcome): void {
    this.admission?.release(outcome);
    this.admission = undefined;
  }
}
