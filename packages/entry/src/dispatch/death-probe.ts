/** Checks whether a target died or was restarted after its connection broke. */
import { readResponseBody, type HttpClient } from '@marjoramcart/runtime';
import { z } from 'zod';

const PROBE_TIMEOUT_MS = 1000;
const loadSchema = z.object({ sequence: z.number() });

/** `unreachable`: no response in time, as in a network partition; no evidence of a death. */
export type TargetLiveness = 'alive' | 'died' | 'unreachable';

export class DeathProbe {
  constructor(private readonly httpClient: HttpClient) {}

  /** Requests the load report. A refused connection or a restarted sequence means a death. */
  async check(address: string, sequenceBefore: number): Promise<TargetLiveness> {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const sent = await this.httpClient.send(
      {
        address: this.httpClient.dial(address),
        method: 'GET',
        path: '/load',
        headers: {},
        body: Buffer.alloc(0),
        newConnection: true,
      },
      () => true,
      signal,
    );
    if (sent.kind === 'vetoed') return 'unreachable';
    if (sent.kind === 'failed')
      return /ECONNREFUSED|ECONNRESET/.test(sent.message) ? 'died' : 'unreachable';
    const body = await readResponseBody(sent.res);
    if (body.kind !== 'complete') return 'unreachable';
    const load = loadSchema.safeParse(parseJson(body.body.toString('utf8')));
    return load.success && load.data.sequence < sequenceBefore ? 'died' : 'alive';
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
