/** Task that asks targets for reports of their load and tells the other gateways of the region. */
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

/** Time between two reports of a target; reports lag by some hundred ms themselves. */
const REPORT_INTERVAL_MS = 500;
/** A target that answers later is left out of the round. */
const REPORT_TIMEOUT_MS = 400;

export interface TargetReportRow {
  readonly target: string;
  readonly report: LoadReport;
}

export interface ReportTaskDeps {
  readonly node: string;
  readonly state: GatewayState;
  readonly connections: HttpClient;
  readonly protocol: ReportProtocol;
  readonly timers: TimerService;
  /** Names of the live gateways of the region, this one included. */
  readonly gateways: () => readonly string[];
  readonly announce: (rows: readonly TargetReportRow[]) => void;
}

export class ReportTask implements Task {
  readonly name = 'reports';

  private readonly duty = new ReportPollerAssignment();

  private unsubscribe = (): void => undefined;

  constructor(private readonly parts: ReportTaskDeps) {}

  start(): Promise<void> {
    this.unsubscribe = this.parts.timers.every(REPORT_INTERVAL_MS, () => {
      void this.round();
    });
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  private async round(): Promise<void> {
    const { state, node, gateways, announce, timers } = this.parts;
    const engines = state.usableEngines();
    const ids = engines.map(({ record }) => record.id);
    const asked = new Set(this.duty.targetsOf(node, gateways(), ids));
    const rows = await Promise.all(
      engines
        .filter(({ record, work }) => asked.has(record.id) && work.avoidedUntil <= timers.now())
        .map((entry) => this.ask(entry)),
    );
    const known = rows.filter((row) => row !== undefined);
    if (known.length > 0) announce(known);
  }

  /** Undefined when the target does not answer in time; requests to it show why. */
  private async ask({ record, work }: TargetEntry): Promise<TargetReportRow | undefined> {
    const { connections, protocol, timers } = this.parts;
    const abort = new AbortController();
    const stop = timers.after(REPORT_TIMEOUT_MS, () => abort.abort());
    const sent = await connections.send(
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
    const body = sent.kind === 'answer' ? await readResponseBody(sent.res) : undefined;
    stop();
    const report = body?.kind === 'complete' ? protocol.decode(body.body) : undefined;
    if (!report) return undefined;
    work.updateLoadReport(report, timers.now());
    return { target: record.id, report };
  }
}
