/** Asks a target by its health check how long it stays cold. */
import {
  readResponseBody,
  type BodyMemory,
  type HttpClient,
  type TimerService,
} from '@marjoramcart/runtime';
import type { ReportProtocol } from '../ports/request-protocol.js';
import type { TargetEntry } from '../state/target-entry.js';

/** A target that has not responded by then says nothing. */
const HEALTH_TIMEOUT_MS = 600;

export interface HealthPollerDeps {
  readonly httpClient: HttpClient;
  readonly protocol: Pick<ReportProtocol, 'readHealth'>;
  readonly timers: TimerService;
  /** Memory for responses of more than 64 KiB; those beyond it are not read to their end. */
  readonly memory: BodyMemory;
}

export class HealthPoller {
  constructor(private readonly deps: HealthPollerDeps) {}

  /**
   * Asks a target once.
   *
   * @returns for how long it is cold, ms, 0 if it is warm; undefined if it did not say so in time
   * @example await poller.coldForMs(entry, '/healthz') // 1200
   */
  async coldForMs({ id, record }: TargetEntry, path: string): Promise<number | undefined> {
    const { httpClient, protocol, timers } = this.deps;
    const memory = this.deps.memory.allocate();
    const abort = new AbortController();
    const stop = timers.after(HEALTH_TIMEOUT_MS, () => abort.abort());
    const sent = await httpClient.send(
      {
        address: httpClient.dial(record.address),
        method: 'GET',
        path,
        headers: {},
        body: Buffer.alloc(0),
        newConnection: false,
      },
      () => true,
      abort.signal,
    );
    const body =
      sent.kind === 'answer'
        ? await readResponseBody(sent.res, (bytes) => memory.grow(bytes))
        : undefined;
    stop();
    memory.release();
    if (sent.kind !== 'answer') return undefined;
    if (body?.kind !== 'complete') {
      sent.res.destroy();
      return undefined;
    }
    const health = protocol.readHealth(sent.res);
    return health?.target === id ? health.coldForMs : undefined;
  }
}
