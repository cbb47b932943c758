/** Task that polls targets for load reports and sends these to the other gateways of the region. */
import { ReportPollerAssignment, type LoadReport } from '@marjoramcart/core';
import type { Task, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { ReportPoller } from './report-poller.js';
import type { RestartCheck } from './restart-check.js';

/** Interval of polling a target; its report is already on the order of 100 ms old when it is sent. */
const REPORT_INTERVAL_MS = 500;

export interface TargetReportRow {
  readonly target: string;
  readonly report: LoadReport;
}

export interface ReportTaskDeps {
  readonly node: string;
  readonly state: GatewayState;
  readonly poller: ReportPoller;
  readonly restarts: Pick<RestartCheck, 'onPolled'>;
  readonly timers: TimerService;
  /** Names of the live gateways of the region, this one included. */
  readonly gateways: () => readonly string[];
  /** Factor on times at a target by what this gateway saw itself; undefined if that is too little. */
  readonly speedFactorOf: (entry: TargetEntry) => number | undefined;
  readonly announce: (rows: readonly TargetReportRow[]) => void;
}

export class ReportTask implements Task {
  readonly name = 'reports';

  private readonly assignment = new ReportPollerAssignment();

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: ReportTaskDeps) {}

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(REPORT_INTERVAL_MS, () => {
      void this.pollAssigned();
    });
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  private async pollAssigned(): Promise<void> {
    const { state, node, gateways, announce, timers, poller, restarts, speedFactorOf } = this.deps;
    const engines = state.usableEngines();
    const ids = engines.map(({ record }) => record.id);
    const assigned = new Set(this.assignment.targetsOf(node, gateways(), ids));
    const rows = await Promise.all(
      engines
        .filter(({ record, work }) => assigned.has(record.id) && work.avoidedUntil <= timers.now())
        .map(async (entry) => {
          const polled = await poller.poll(entry);
          restarts.onPolled(entry, polled);
          return { entry, polled };
        }),
    );
    // A target that sends no valid report in time is left out of this round.
    const known = rows.flatMap(({ entry, polled }): TargetReportRow[] => {
      if (polled.kind !== 'report') return [];
      const speedFactor = speedFactorOf(entry);
      const report = { ...polled.report, ...(speedFactor === undefined ? {} : { speedFactor }) };
      return [{ target: entry.id, report }];
    });
    if (known.length > 0) announce(known);
  }
}
