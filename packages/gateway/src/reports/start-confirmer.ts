/**
 * Asks targets for their start, so that a stream is noted with the version that wrote it and goes on at
 * that version only. A target may have started again with another one, unseen by this gateway.
 */
import { rendezvousOrder } from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { PolledReport, ReportPoller } from './report-poller.js';
import type { StartWitness } from './start-witness.js';

/** Before a stream goes on at a target, it is asked unless its start was confirmed this recently. */
const FRESH_MS = 500;
/** A request waits this long for the answer of its target before it is sent. */
const CONFIRM_WAIT_MS = 400;
/** An answer that comes later is of no use to the caller, who leaves after a pause of some seconds. */
const ANSWER_TIMEOUT_MS = 1500;
/** A connection that stays open tells of its process also while reports fail. */
const ASK_OPTIONS = { ownConnection: true, timeoutMs: ANSWER_TIMEOUT_MS };
/** A target is asked again after this time, which keeps that connection. */
const KEEP_INTERVAL_MS = 1500;
/** Limit of the targets that are asked without need. */
const MAX_KEPT = 32;
/** Shortest time between two questions to a target that were not answered. */
const ASK_AGAIN_MS = 100;

export interface StartConfirmerDeps {
  /** Name of this gateway. */
  readonly node: string;
  readonly state: Pick<GatewayState, 'target' | 'usableEngines'>;
  readonly witness: Pick<StartWitness, 'canProve' | 'proves'>;
  readonly poller: Pick<ReportPoller, 'poll'>;
  readonly timers: Pick<TimerService, 'now' | 'after'>;
}

/** `unreachable`: the target refuses connections. */
export type StartConfirmation = 'confirmed' | 'unconfirmed' | 'unreachable';

interface Question {
  /** Monotonic ms. */
  readonly askedAt: number;
  readonly answer: Promise<PolledReport>;
  answered: boolean;
}

export class StartConfirmer {
  /** Latest question to each target. */
  private readonly questions = new Map<string, Question>();

  /** Targets that got streams, the latest one last. */
  private readonly used = new Set<string>();

  constructor(private readonly deps: StartConfirmerDeps) {}

  /** Notes that a target gets a stream that may be taken up. */
  onUse({ id }: TargetEntry): void {
    this.used.delete(id);
    this.used.add(id);
  }

  /**
   * Asks targets whose streams may be taken up, the latest used ones first, so that their starts can still
   * be proved when reports begin to fail. To be called often.
   *
   * @param isMixed whether a service may have several software versions
   */
  keep(isMixed: (service: string) => boolean): void {
    const { state, timers, node } = this.deps;
    const now = timers.now();
    const mixed = new Map(
      state
        .usableEngines()
        .filter((entry) => this.canProve(entry) && isMixed(entry.record.service))
        .map((entry) => [entry.id, entry]),
    );
    const gone = (id: string): boolean => !mixed.has(id);
    [...this.used].filter(gone).forEach((id) => this.used.delete(id));
    [...this.questions.keys()]
      .filter((id) => state.target(id) === undefined)
      .forEach((id) => this.questions.delete(id));
    const latestFirst = [...this.used].reverse();
    // Each gateway chooses others, so that all targets are asked.
    const others = rendezvousOrder(node, [...mixed.keys()]);
    [...new Set([...latestFirst, ...others])]
      .slice(0, MAX_KEPT)
      .filter((id) => now - (this.questions.get(id)?.askedAt ?? -Infinity) >= KEEP_INTERVAL_MS)
      .map((id) => mixed.get(id))
      .filter((entry) => entry !== undefined)
      .forEach((entry) => this.ask(entry));
  }

  /** Whether the starts of a target can be told apart. */
  canProve(entry: TargetEntry): boolean {
    return this.deps.witness.canProve(entry);
  }

  /** Whether the known start answers on a connection that was established at a time, monotonic ms. */
  proves(entry: TargetEntry, openedAt: number): boolean {
    return this.deps.witness.proves(entry, openedAt);
  }

  /**
   * Asks a target for its start, unless the answer to a question that is late enough, or was asked just
   * now, is awaited.
   *
   * @param after when the connection was established that the answer is to prove, monotonic ms
   */
  ask(entry: TargetEntry, after = -Infinity): Question {
    const { timers, poller } = this.deps;
    const askedAt = timers.now();
    const last = this.questions.get(entry.id);
    if (last) {
      const isJustAsked = askedAt - last.askedAt < ASK_AGAIN_MS;
      const isLateEnough = last.askedAt >= after;
      if (last.answered ? isJustAsked && isLateEnough : isJustAsked || isLateEnough) return last;
    }
    const question: Question = {
      askedAt,
      answered: false,
      answer: poller.poll(entry, ASK_OPTIONS),
    };
    void question.answer.then(() => {
      question.answered = true;
    });
    this.questions.set(entry.id, question);
    return question;
  }

  /**
   * Whether a stream may be sent to a target to go on there. The start that it reaches is checked again
   * before its events are passed on.
   *
   * @example (await confirmer.confirm(entry)) === 'confirmed'
   */
  async confirm(entry: TargetEntry): Promise<StartConfirmation> {
    const { state, timers } = this.deps;
    if (!this.canProve(entry)) return 'confirmed';
    if (timers.now() - entry.evidence.ranAt <= FRESH_MS) return 'confirmed';
    const polled = await Promise.race([this.ask(entry).answer, this.delay(CONFIRM_WAIT_MS)]);
    if (polled?.kind === 'refused') return 'unreachable';
    const isKnown = state.target(entry.id) === entry && entry.evidence.ranAt > -Infinity;
    return isKnown ? 'confirmed' : 'unconfirmed';
  }

  /**
   * Waits until it is known whether the known start answers on a connection.
   *
   * @param openedAt when the connection was established, monotonic ms
   * @param limitMs longest wait, ms
   */
  async prove(entry: TargetEntry, openedAt: number, limitMs = ANSWER_TIMEOUT_MS): Promise<boolean> {
    const { state, timers } = this.deps;
    const endsAt = timers.now() + limitMs;
    const isOpen = (): boolean =>
      !this.proves(entry, openedAt) && state.target(entry.id) === entry && timers.now() < endsAt;
    /* eslint-disable no-await-in-loop */
    while (isOpen()) {
      const { askedAt, answer } = this.ask(entry, openedAt);
      const isUseful = askedAt >= openedAt;
      const limit = this.delay(isUseful ? endsAt - timers.now() : ASK_AGAIN_MS);
      const polled = await Promise.race([answer, limit]);
      // A target that has ended tells nothing more of the process that answered before.
      if (isUseful && polled?.kind === 'refused') break;
      if (isUseful && isOpen()) await this.delay(ASK_AGAIN_MS);
    }
    /* eslint-enable no-await-in-loop */
    return this.proves(entry, openedAt);
  }

  private delay(ms: number): Promise<undefined> {
    return new Promise((resolve) => {
      this.deps.timers.after(ms, () => resolve(undefined));
    });
  }
}
