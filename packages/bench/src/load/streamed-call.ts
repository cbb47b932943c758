/** One streamed call to an entry, with the times of its tokens. */
import { request, type Agent } from 'node:http';

export interface CallOptions {
  /** `ip:port` of the entry. */
  readonly entry: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly agent: Agent;
  /**
   * When the call was due, by `performance.now()`; now when left out. Latencies count from here, so
   * that a load generator that falls behind does not hide the wait.
   */
  readonly dueAt?: number;
}

/** `aborted` covers streams without `data: [DONE]` and connections that broke. */
export interface CallResult {
  readonly end: 'complete' | 'rejected' | 'aborted';
  readonly status: number;
  readonly attempts: number;
  readonly region: string;
  readonly firstTokenMs?: number;
  /** Gaps between the tokens after the first, in ms. */
  readonly gapsMs: readonly number[];
  readonly totalMs: number;
}

const DONE = 'data: [DONE]';

/** Calls the entry; never rejects. */
export async function sendStreamedCall(options: CallOptions): Promise<CallResult> {
  const startedAt = options.dueAt ?? performance.now();
  const gapsMs: number[] = [];
  const head = { status: 0, attempts: 0, region: '' };
  let firstTokenMs: number | undefined;
  let lastAt = startedAt;
  const resultOf = (end: CallResult['end']): CallResult => ({
    end,
    ...head,
    firstTokenMs,
    gapsMs,
    totalMs: performance.now() - startedAt,
  });
  const onEvent = (event: string): boolean => {
    if (event.includes(DONE)) return true;
    if (!event.includes('data:') || event.includes('event: error')) return false;
    const now = performance.now();
    if (firstTokenMs === undefined) firstTokenMs = now - startedAt;
    else gapsMs.push(now - lastAt);
    lastAt = now;
    return false;
  };
  return new Promise((resolve) => {
    const body = JSON.stringify({
      model: options.model,
      stream: true,
      max_tokens: options.maxTokens,
      messages: [{ role: 'user', content: options.prompt }],
    });
    const req = request(
      `http://${options.entry}/v1/chat/completions`,
      {
        method: 'POST',
        agent: options.agent,
        headers: {
          authorization: `Bearer ${options.key}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          'marjoramcart-deadline-ms': String(options.deadlineMs),
        },
      },
      (res) => {
        head.status = res.statusCode ?? 0;
        head.attempts = Number(res.headers['marjoramcart-attempts'] ?? 0);
        head.region = String(res.headers['marjoramcart-region'] ?? '');
        let rest = '';
        let done = false;
        res.setEncoding('utf8');
        res.on('data', (text: string) => {
          const events = (rest + text).split('\n\n');
          rest = events.pop() ?? '';
          done = events.map(onEvent).includes(true) || done;
        });
        res.on('end', () => {
          if (head.status >= 400) resolve(resultOf('rejected'));
          else resolve(resultOf(done ? 'complete' : 'aborted'));
        });
        res.on('error', () => resolve(resultOf('aborted')));
      },
    );
    req.on('error', () => resolve(resultOf('aborted')));
    // The entry enforces the deadline; this only ends calls to an entry that hangs.
    req.setTimeout(2 * options.deadlineMs, () => req.destroy());
    req.end(body);
  });
}
