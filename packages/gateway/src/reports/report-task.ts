/** Task that polls targets for load reports and sends these to the other gateways of the region. */
import { ReportPollerAssignment, type LoadReport } from '@marjoramcart/core';
import {
  readResponseBody,
  type HttpClient,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import type { ReportProtocol } from '../ports/request-protocol.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';

/** Interval of polling a target; its report is already on the order of 100 ms old when it is sent. */
const REPORT_INTERVAL_MS = 500;
/** A target that has not responded by then is left out of this round of polling. */
const REPORT_TIMEOUT_MS = 400;

export interface TargetReportRow {
  readonly target: string;
  readonly report: LoadReport;
}

export interface ReportTaskDeps {
  readonly node: string;
  readonly state: GatewayState;
  readonly httpClient: HttpClient;
  readonly protocol: ReportProtocol;
  readonly timers: TimerService;
  /** Names of the live gateways of the region, this one included. */
  readonly gateways: () => readonly string[];
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
    const { state, node, gateways, announce, timers } = this.deps;
    const engines = state.usableEngines();
    const ids = engines.map(({ record }) => record.id);
    const assigned = new Set(this.assignment.targetsOf(node, gateways(), ids));
    const rows = await Promise.all(
      engines
        .filter(({ record, work }) => assigned.has(record.id) && work.avoidedUntil <= timers.now())
        .map((entry) => this.poll(entry)),
    );
    const known = rows.filter((row) => row !== undefined);
    if (known.length > 0) announce(known);
  }

  /**
   * Undefined when the target sends no valid report in time. That is not logged: the attempts at the
   * target show the cause.
   */
  private async poll({ record, work }: TargetEntry): Promise<TargetReportRow | undefined> {
    const { httpClient, protocol, timers } = this.deps;
    const abort = new AbortController();
    const stop = timers.after(REPORT_TIMEOUT_MS, () => abort.abort());
    const sent = await httpClient.send(
      {
        address: record.address,
        method: 'GET',
        path: protocol.path,
        headers: {},
        body: Buffer.alloc(0),
        newConnection: false,
      },
      () => true,
      abort.signal,
    );
    if (sent.kind === 'answer')
      this.deps.state.onTargetSignals(record, protocol.readTargetSignals(sent.res));
    const body = sent.kind === 'answer' ? await readResponseBody(sent.res) : undefined;
    stop();
    const report = body?.kind === 'complete' ? protocol.decode(body.body) : undefined;
    if (!report) return undefined;
    work.updateLoadReport(report, timers.now());
    return { target: record.id, report };
  }
}
