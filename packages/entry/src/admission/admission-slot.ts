/** A call's slot in the admission window of its service in the local failure domain. */
import type { AdmissionOutcome, ResultCode } from '@marjoramcart/core';
import type { Call } from '../request/call.js';
import type { Admission, AdmissionGate } from './admission-gate.js';

export class AdmissionSlot {
  private admission: Extract<Admission, { kind: 'admitted' }> | undefined;

  constructor(
    private readonly gate: AdmissionGate,
    private readonly call: Call,
    private readonly onAbandoned: (listener: () => void) => () => void,
  ) {}

  get held(): boolean {
    return this.admission !== undefined;
  }

  /** Expected wait for the slot, ms. */
  get waitMs(): number {
    return this.held ? 0 : this.gate.expectedWaitMs(this.call);
  }

  /** Waits for the slot; a code if refused, undefined if acquired or the caller disconnected. */
  async acquire(): Promise<ResultCode | undefined> {
    const admission = await this.gate.admit(this.call, this.onAbandoned);
    if (admission.kind === 'refused') return admission.code;
    if (admission.kind === 'admitted') this.admission = admission;
    return undefined;
  }

  release(outcome: AdmissionOutcome): void {
    this.admission?.release(outcome);
    this.admission = undefined;
  }
}
