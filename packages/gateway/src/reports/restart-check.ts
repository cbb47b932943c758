/**
 * Task that asks targets which may have restarted for their start time. A restarted target is cold and may
 * be of another version, which has to be known before it is back: its entry in the source tells of the
 * restart much later.
 */
import type { TargetIncarnation } from '@marjoramcart/core';
import type { Task, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import { ColdReason, type TargetEntry } from '../state/target-entry.js';
import type { PolledReport, ReportPoller } from './report-poller.js';

const CHECK_INTERVAL_MS = 100;
const FAST_INTERVAL_MS = 250;
/** A target that does not tell its start time is asked less often after the first questions. */
const MAX_FAST_QUESTIONS = 4;
const SLOW_INTERVAL_MS = 1000;
/** A watched target is asked after this time without a sign of it, which keeps a connection open. */
const SILENCE_MS = 2000;
/** The gateways of the region are told again that a target is unreachable after this time. */
const TELL_AGAIN_MS = 1500;

export interface RestartCheckDeps {
  readonly state: GatewayState;
  readonly poller: Pick<ReportPoller, 'poll'>;
  readonly timers: TimerService;
  /** Whether this gateway watches the connections to a target, also while it has no requests there. */
  readonly watches: (target: string) => boolean;
  /** Notes a failed connection; returns whether this gateway reaches no target at all. */
  readonly onLinkFailure: () => Promise<boolean>;
  /** Tells the other gateways of the region that a target is unreachable. */
  readonly announceUnreachable: (target: string) => void;
  /** Tells them when a target started. */
  readonly announceStart: (target: TargetIncarnation) => void;
}

/** Questions to a target in doubt; monotonic ms. */
interface Questions {
  readonly entry: TargetEntry;
  count: number;
  asking: boolean;
  askedAt: number;
  /** When the region was last told that the target is unreachable, by this or another gateway. */
  toldAt: number;
  /** Whether this gateway told it. */
  told: boolean;
}

export class RestartCheck implements Task {
  readonly name = 'restarts';

  /** By target; dropped when its start is no longer in doubt. */
  private readonly questions = new Map<string, Questions>();

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: RestartCheckDeps) {}

  start(): Promise<void> {
    const { timers, state } = this.deps;
    const subscriptions = [
      timers.every(CHECK_INTERVAL_MS, () => this.askAgain()),
      timers.onPause(({ durationMs }) => {
        state.onPause(durationMs);
        this.askAgain();
      }),
    ];
    this.unsubscribe = () => subscriptions.forEach((unsubscribe) => unsubscribe());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /** Handles a connection to a target that broke during a request. */
  onConnectionLost(entry: TargetEntry): void {
    void this.deps.onLinkFailure();
    this.onBroken(entry);
  }

  /** Handles the close of a connection without a request, by the target. */
  onIdleClosed(address: string): void {
    this.deps.state.targetsAt(address).forEach((entry) => this.onBroken(entry));
  }

  private onBroken(entry: TargetEntry): void {
    // Without reports, a broken connection can't be told from a restart.
    if (!this.canBeAsked(entry)) return;
    this.deps.state.suspectRestart(entry.id, ColdReason.ConnectionLost);
    void this.ask(entry);
  }

  /** Handles the response to a poll of a target's load. */
  onPolled(entry: TargetEntry, polled: PolledReport): void {
    if (this.canBeAsked(entry)) this.apply(entry, polled);
  }

  /** Handles a target that accepted no connection for a request. */
  onUnreachable(entry: TargetEntry): void {
    const { state, timers } = this.deps;
    const now = timers.now();
    state.suspectRestart(entry.id, ColdReason.Unreachable);
    entry.work.onUnreachable(now);
    this.questionsTo(entry).toldAt = now;
    void this.announce(entry);
  }

  /** Handles the return of this gateway's links; targets may have restarted unseen meanwhile. */
  onReachRegained(): void {
    const { state, timers } = this.deps;
    const now = timers.now();
    // Targets were avoided for what was lost on the way to them.
    state.localTargets().forEach(({ work }) => work.onByte(now));
    state
      .usableEngines()
      .filter((entry) => this.canBeAsked(entry))
      .forEach((entry) => {
        state.suspectRestart(entry.id, ColdReason.Unreachable);
        this.questionsTo(entry).count = 0;
        void this.ask(entry);
      });
  }

  /** Handles a target that another gateway can't reach. This one may be able to, and asks it once. */
  onTold(entry: TargetEntry): void {
    const { state, timers } = this.deps;
    entry.work.onUnreachable(timers.now());
    state.suspectRestart(entry.id, ColdReason.Told);
    this.questionsTo(entry).toldAt = timers.now();
    if (this.canBeAsked(entry)) void this.ask(entry);
  }

  /** Tells the region, unless all links of this gateway are lost: the others may have theirs. */
  private async announce(entry: TargetEntry): Promise<void> {
    const { onLinkFailure, announceUnreachable } = this.deps;
    if (await onLinkFailure()) return;
    this.questionsTo(entry).told = true;
    announceUnreachable(entry.id);
  }

  private askAgain(): void {
    const { state, timers } = this.deps;
    const now = timers.now();
    [...this.questions]
      .filter(([id, { entry }]) => state.target(id) !== entry || !entry.isDoubted(now))
      .forEach(([id]) => this.questions.delete(id));
    state
      .doubtedTargets()
      .filter((entry) => this.canBeAsked(entry) && this.isDue(entry, now))
      .forEach((entry) => {
        void this.ask(entry);
      });
    this.askSilent(now);
  }

  /** Asks watched targets over kept connections, whose close tells of a restart at once. */
  private askSilent(now: number): void {
    const { state, watches, poller } = this.deps;
    state
      .usableEngines()
      .filter((entry) => entry.silentForMs(now) >= SILENCE_MS && !entry.isDoubted(now))
      .filter((entry) => this.canBeAsked(entry) && watches(entry.id))
      .forEach((entry) => {
        entry.onContact(now);
        void poller.poll(entry).then((polled) => this.apply(entry, polled));
      });
  }

  private isDue(entry: TargetEntry, now: number): boolean {
    const { count, askedAt } = this.questionsTo(entry);
    const intervalMs = count < MAX_FAST_QUESTIONS ? FAST_INTERVAL_MS : SLOW_INTERVAL_MS;
    return now - askedAt >= intervalMs;
  }

  private async ask(entry: TargetEntry): Promise<void> {
    const { poller, timers } = this.deps;
    const questions = this.questionsTo(entry);
    if (questions.asking) return;
    Object.assign(questions, { asking: true, askedAt: timers.now(), count: questions.count + 1 });
    const polled = await poller.poll(entry, { newConnection: true }).finally(() => {
      questions.asking = false;
    });
    this.apply(entry, polled);
  }

  private apply(entry: TargetEntry, polled: PolledReport): void {
    const { state } = this.deps;
    if (state.target(entry.id) !== entry) return;
    if (polled.kind === 'report' && polled.report.bornAt === entry.record.bornAt)
      this.onSameStart(entry);
    if (entry.isDoubtTold) return;
    if (polled.kind === 'refused') this.onRefused(entry);
    // A target that is silent may restart before it accepts connections again.
    if (polled.kind === 'silent') state.suspectRestart(entry.id, ColdReason.Unreachable);
  }

  private onRefused(entry: TargetEntry): void {
    const { state, timers } = this.deps;
    const { toldAt } = this.questionsTo(entry);
    if (timers.now() - toldAt >= TELL_AGAIN_MS) this.onUnreachable(entry);
    else state.suspectRestart(entry.id, ColdReason.Unreachable);
  }

  private onSameStart({ record, work }: TargetEntry): void {
    const questions = this.questions.get(record.id);
    if (!questions) return;
    work.onReachable();
    if (questions.told) this.deps.announceStart(record);
    Object.assign(questions, { told: false, toldAt: -Infinity });
  }

  private questionsTo(entry: TargetEntry): Questions {
    const known = this.questions.get(entry.id);
    if (known?.entry === entry) return known;
    const questions = {
      entry,
      count: 0,
      asking: false,
      askedAt: -Infinity,
      toldAt: -Infinity,
      told: false,
    };
    this.questions.set(entry.id, questions);
    return questions;
  }

  private canBeAsked({ record }: TargetEntry): boolean {
    return this.deps.state.tellsStart(record);
  }
}
