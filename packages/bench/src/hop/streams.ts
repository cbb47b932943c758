/** Callers of the hop bench: open streams and note when the first byte arrives. */
import http from 'node:http';

export interface StreamResult {
  readonly firstMs: number;
  readonly events: number;
  readonly complete: boolean;
  /** Result code, or the error of the connection. */
  readonly code: string;
}

const END_OF_EVENT = '\n\n';

/** Opens one stream and reads it to its end. */
export function readStream(
  address: string,
  apiKey: string,
  events: number,
  agent: http.Agent,
): Promise<StreamResult> {
  const startedAt = performance.now();
  const body = JSON.stringify({
    model: 'chat',
    stream: true,
    max_tokens: events,
    messages: [{ role: 'user', content: `How is the king pole stayed? ${startedAt}` }],
  });
  return new Promise((resolve) => {
    const failed = ({ message }: Error): void =>
      resolve({ firstMs: 0, events: 0, complete: false, code: message });
    const req = http.request(
      `http://${address}/v1/chat/completions`,
      {
        method: 'POST',
        agent,
        headers: { authorization: `Bearer ${apiKey}`, 'content-type': 'application/json' },
      },
      (res) => {
        const seen = { firstMs: 0, events: 0, tail: '' };
        res.on('data', (chunk: Buffer) => {
          if (seen.firstMs === 0) seen.firstMs = performance.now() - startedAt;
          const text = chunk.toString('latin1');
          seen.events += text.split(END_OF_EVENT).length - 1;
          seen.tail = text.slice(-16);
        });
        res.on('error', failed);
        res.on('close', () =>
          resolve({
            firstMs: seen.firstMs,
            events: seen.events,
            code: String(res.headers['marjoramcart-code']),
            complete: res.complete && seen.tail.endsWith(`[DONE]${END_OF_EVENT}`),
          }),
        );
      },
    );
    req.on('error', failed);
    req.end(body);
  });
}
