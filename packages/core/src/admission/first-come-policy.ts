/** First come, first served: baseline for comparing fairness policies. */
import type { AdmissionRequest, FairnessPolicy } from './admission-policy.js';
import { CustomerQueues } from './customer-queues.js';

export class FirstComePolicy implements FairnessPolicy {
  readonly name = 'first-come';

  private readonly queues = new CustomerQueues();

  get size(): number {
    return this.queues.size;
  }

  push(req: AdmissionRequest): void {
    this.queues.add(req);
  }

  pop(_now?: number, mayRun?: (customer: string) => boolean): AdmissionRequest | undefined {
    const req = this.queues.oldest(mayRun);
    return req && this.queues.remove(req.id);
  }

  remove(id: string): AdmissionRequest | undefined {
    return this.queues.remove(id);
  }

  // Only the arrival order matters.
  onFinished(): void {}

  queuedCountOf(customer: string): number {
    return this.queues.countOf(customer);
  }

  queued(): readonly AdmissionRequest[] {
    return this.queues.all();
  }
}
