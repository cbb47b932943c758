/**
 * Confirms that a target has not restarted before it goes on with a stream. It may have with another
 * version, unseen by this gateway, which has no connection to it.
 */
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { PolledReport, ReportPoller } from './report-poller.js';

export interface StartConfirmerDeps {
  readonly state: Pick<GatewayState, 'target' | 'tellsStart'>;
  readonly poller: Pick<ReportPoller, 'poll'>;
}

/** `unreachable`: the target refuses connections. */
export type StartConfirmation = 'confirmed' | 'unconfirmed' | 'unreachable';

export class StartConfirmer {
  /** Polls that are in progress, by target. */
  private readonly polls = new Map<string, Promise<PolledReport>>();

  constructor(private readonly deps: StartConfirmerDeps) {}

  /**
   * Asks a target whether it is still the start that this gateway knows. Streams that go on there at the
   * same time share one poll.
   *
   * @example (await confirmer.confirm(entry)) === 'confirmed'
   */
  async confirm(entry: TargetEntry): Promise<StartConfirmation> {
    const { state } = this.deps;
    const { record } = entry;
    // A target that tells no start time is known by its entry only.
    if (!state.tellsStart(record) || record.bornAt === 0) return 'confirmed';
    const polled = await this.poll(entry);
    if (polled.kind === 'refused') return 'unreachable';
    const isSame =
      polled.kind === 'report' &&
      (polled.report.bornAt === undefined || polled.report.bornAt === record.bornAt) &&
      state.target(record.id) === entry;
    return isSame ? 'confirmed' : 'unconfirmed';
  }

  private poll(entry: TargetEntry): Promise<PolledReport> {
    const running = this.polls.get(entry.id);
    if (running) return running;
    const poll = this.deps.poller.poll(entry, { newConnection: true }).finally(() => {
      this.polls.delete(entry.id);
    });
    this.polls.set(entry.id, poll);
    return poll;
  }
}
