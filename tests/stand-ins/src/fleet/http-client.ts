/** HTTP client without connection reuse, for test ports and readiness checks. */
import http from 'node:http';

export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
}

const IDLE_TIMEOUT_MS = 10_000;

/**
 * Sends a request and reads the complete response.
 *
 * @throws Error when the connection fails or is idle for more than 10 s
 */
export function request(
  method: string,
  url: string,
  body?: string | object,
  headers: http.OutgoingHttpHeaders = {},
): Promise<HttpResponse> {
  const text = typeof body === 'object' ? JSON.stringify(body) : body;
  return new Promise((resolve, reject) => {
    const req = http.request(
      url,
      { method, headers, agent: false, timeout: IDLE_TIMEOUT_MS },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            text: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      },
    );
    req.on('timeout', () => req.destroy(new Error(`${method} ${url} timed out`)));
    req.on('error', reject);
    req.end(text);
  });
}

/**
 * Sends a request and parses the response as JSON.
 *
 * @throws Error on a status other than 2xx
 */
export async function requestJson<Value>(
  method: string,
  url: string,
  body?: string | object,
): Promise<Value> {
  const response = await request(method, url, body);
  const ok = response.status >= 200 && response.status < 300;
  if (!ok) throw new Error(`${method} ${url} returned status ${response.status}: ${response.text}`);
  return JSON.parse(response.text) as Value;
}
