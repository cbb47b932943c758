/** Admits calls through one controller per service, whose window follows the targets' capacity. */
import {
  ResultCodes,
  type AdmissionController,
  type AdmissionOutcome,
  type AdmissionRequest,
  type ResultCode,
  type WindowAdmissionOptions,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';

/** Window of a service without local targets; it admits queued calls so that they are forwarded. */
const FORWARD_ONLY_WINDOW_REQUESTS = 64;
/** Limit of queued requests per service. */
const MAX_QUEUED_REQUESTS = 2000;
/** Used for customers whose class is not in the configuration. */
const DEFAULT_QUEUE_PER_CUSTOMER = 64;
/** Cost of an output token; a prompt token costs 1. */
const OUTPUT_TOKEN_COST = 2;

export type Admission =
  | { readonly kind: 'admitted'; readonly release: (outcome: AdmissionOutcome) => void }
  | { readonly kind: 'refused'; readonly code: ResultCode }
  /** The caller disconnected while the call was queued. */
  | { readonly kind: 'abandoned' };

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
    private readonly create: (options: WindowAdmissionOptions) => AdmissionController,
  ) {}

  get queued(): number {
    return this.waiting.size;
  }

  /** Expected wait of a new call of this customer, ms. */
  expectedWaitMs(call: Call): number {
    return this.controller(call).expectedWaitMs(call.customer.id);
  }

  /** Waits for admission to the service's window. */
  admit(call: Call, onAbandoned: (listener: () => void) => () => void): Promise<Admission> {
    const controller = this.controller(call);
    const decision = controller.offer(this.request(call), this.timers.now());
    if (decision.kind === 'refused') {
      return Promise.resolve({ kind: 'refused', code: REFUSALS[decision.reason] });
    }
    if (decision.kind === 'admitted') return Promise.resolve(this.admitted(call, controller));
    return new Promise((resolve) => {
      const stopListening = onAbandoned(() => {
        controller.cancel(call.id);
        this.settle(call.id, { kind: 'abandoned' });
      });
      this.waiting.set(call.id, (admission) => {
        stopListening();
        resolve(admission.kind === 'admitted' ? this.admitted(call, controller) : admission);
      });
    });
  }

  /** Resizes the windows to the current capacity and refuses calls whose deadline can't be met. */
  tick(): void {
    const now = this.timers.now();
    this.controllers.forEach((controller, service) => {
      this.resolveAdmitted(controller.resize(this.window(service), now));
      controller.expire(now).forEach(({ id, deadlineAt }) =>
        this.settle(id, {
          kind: 'refused',
          code: deadlineAt <= now ? ResultCodes.DeadlineExpired : ResultCodes.DeadlineUnreachable,
        }),
      );
    });
  }

  private admitted(call: Call, controller: AdmissionController): Admission {
    return {
      kind: 'admitted',
      release: (outcome) =>
        this.resolveAdmitted(controller.release(call.id, outcome, this.timers.now())),
    };
  }

  private resolveAdmitted(admitted: readonly AdmissionRequest[]): void {
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
    const created = this.create({
      window: this.window(call.service),
      queuePerCustomer: DEFAULT_QUEUE_PER_CUSTOMER,
      maxQueued: MAX_QUEUED_REQUESTS,
      queuePerCustomerOf: ({ customerClass }) =>
        this.state.config?.classes[customerClass]?.queue_per_customer,
    });
    this.controllers.set(call.service, created);
    return created;
  }

  /** This entry's share of the concurrency of the ready targets. */
  private window(service: string): number {
    const { targets, processes } = this.state.view;
    const capacity = targets
      .filter((t) => t.healthy && !t.leaving && t.services.includes(service))
      .reduce((sum, { concurrency }) => sum + concurrency, 0);
    if (capacity === 0) return FORWARD_ONLY_WINDOW_REQUESTS;
    const entries = processes.filter(({ process }) => process.role === 'entry').length;
    return Math.max(1, Math.ceil(capacity / Math.max(1, entries)));
  }

  private request(call: Call): AdmissionRequest {
    const classConfig = this.state.config?.classes[call.customer.class];
    return {
      id: call.id,
      customer: call.customer.id,
      customerClass: call.customer.class,
      weight: classConfig?.weight ?? 1,
      priority: classConfig?.priority ?? 0,
      cost: callCost(call, call.routed.maxTokens),
      arrivedAt: call.arrivedAt,
      deadlineAt: call.deadlineAt,
      forwarded: call.visited.length > 0,
      latencyTargetMs:
        // Plain calls have no latency target, since a late result is better than none.
        call.config.kind === 'model' ? call.config.first_token : Number.POSITIVE_INFINITY,
    };
  }
}

/**
 * Cost of a call in the unit of `AdmissionRequest.cost`: its weighted number of tokens, or 1 for a
 * plain call.
 *
 * @example callCost(call, call.routed.maxTokens)
 */
export function callCost({ config, routed }: Call, outputTokens: number): number {
  return config.kind === 'model' ? routed.promptTokens + OUTPUT_TOKEN_COST * outputTokens : 1;
}
