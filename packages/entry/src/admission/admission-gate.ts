/** Admission of calls: one controller for each service, sized by the targets' capacity. */
import {
  ResultCodes,
  type AdmissionController,
  type AdmissionOutcome,
  type AdmissionRequest,
  type ResultCode,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/platform';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';

/** Window of a service without ready targets here, whose calls are forwarded. */
const AWAY_WINDOW = 64;
const PLAIN_LATENCY_TARGET_MS = 1000;

export type Admission =
  | { readonly kind: 'admitted'; readonly release: (outcome: AdmissionOutcome) => void }
  | { readonly kind: 'refused'; readonly code: ResultCode }
  /** The caller left while the call was queued. */
  | { readonly kind: 'left' };

const REFUSALS = {
  'queue-full': ResultCodes.QueueFull,
  'deadline-unreachable': ResultCodes.DeadlineUnreachable,
  expired: ResultCodes.DeadlineExpired,
} as const;

export class AdmissionGate {
  private readonly controllers = new Map<string, AdmissionController>();

  private readonly waiting = new Map<string, (admission: Admission) => void>();

  constructor(
    private readonly state: EntryState,
    private readonly timers: TimerService,
    private readonly create: (window: number) => AdmissionController,
  ) {}

  get queued(): number {
    return this.waiting.size;
  }

  /** Waits for a place in the service's window. */
  admit(call: Call, onLeft: (listener: () => void) => () => void): Promise<Admission> {
    const controller = this.controller(call);
    const decision = controller.offer(this.request(call), this.timers.now());
    if (decision.kind === 'refused') {
      return Promise.resolve({ kind: 'refused', code: REFUSALS[decision.reason] });
    }
    if (decision.kind === 'admitted') return Promise.resolve(this.admitted(call, controller));
    return new Promise((resolve) => {
      const stopWatch = onLeft(() => {
        controller.cancel(call.id);
        this.settle(call.id, { kind: 'left' });
      });
      this.waiting.set(call.id, (admission) => {
        stopWatch();
        resolve(admission.kind === 'admitted' ? this.admitted(call, controller) : admission);
      });
    });
  }

  /** Follows changes of capacity and ends requests whose deadline has passed. */
  tick(): void {
    const now = this.timers.now();
    this.controllers.forEach((controller, service) => {
      this.wake(controller.resize(this.window(service), now));
      controller
        .expire(now)
        .forEach(({ id }) =>
          this.settle(id, { kind: 'refused', code: ResultCodes.DeadlineExpired }),
        );
    });
  }

  private admitted(call: Call, controller: AdmissionController): Admission {
    return {
      kind: 'admitted',
      release: (outcome) => this.wake(controller.release(call.id, outcome, this.timers.now())),
    };
  }

  private wake(admitted: readonly AdmissionRequest[]): void {
    admitted.forEach(({ id }) => this.settle(id, { kind: 'admitted', release: () => undefined }));
  }

  private settle(id: string, admission: Admission): void {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(admission);
  }

  private controller(call: Call): AdmissionController {
    const found = this.controllers.get(call.service);
    if (found) return found;
    const created = this.create(this.window(call.service));
    this.controllers.set(call.service, created);
    return created;
  }

  /** This entry's share of the concurrency of the ready targets. */
  private window(service: string): number {
    const { targets, processes } = this.state.view;
    const capacity = targets
      .filter((t) => t.healthy && !t.leaving && t.services.includes(service))
      .reduce((sum, { concurrency }) => sum + concurrency, 0);
    if (capacity === 0) return AWAY_WINDOW;
    const entries = processes.filter(({ process }) => process.role === 'entry').length;
    return Math.max(1, Math.ceil(capacity / Math.max(1, entries)));
  }

  private request(call: Call): AdmissionRequest {
    const classConfig = this.state.config?.classes[call.customer.class];
    const { promptTokens, maxTokens } = call.routed;
    const isModel = call.config.kind === 'model';
    return {
      id: call.id,
      customer: call.customer.id,
      customerClass: call.customer.class,
      weight: classConfig?.weight ?? 1,
      priority: classConfig?.priority ?? 0,
      cost: isModel ? promptTokens + 2 * maxTokens : 1,
      arrivedAt: call.arrivedAt,
      deadlineAt: call.deadlineAt,
      latencyTargetMs:
        call.config.kind === 'model' ? call.config.first_token : PLAIN_LATENCY_TARGET_MS,
    };
  }
}
