/** HTTP client of targets: load reports and orders. */
import http from 'node:http';
import { headerBytes } from '@marjoramcart/runtime';
import { loadReportSchema, type LoadReport } from './load-report.js';

export type TargetResult<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'refused'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'failed'; readonly message: string };

const REQUEST_TIMEOUT_MS = 900;
/** Request line, host and the empty line, which Node.js adds. */
const REQUEST_HEADER_BYTES = 51;
/** Status line and the empty line after the headers. */
const STATUS_LINE_BYTES = 19;

export class TargetClient {
  private readonly agent = new http.Agent({ keepAlive: true });

  /**
   * @param dialMap address to dial in place of a target's own address
   * @param onBytes counts bytes of messages
   */
  constructor(
    private readonly dialMap: Readonly<Record<string, string>> = {},
    private readonly onBytes: (bytes: { sent: number; received: number }) => void = () => {},
  ) {}

  /** Load report of the target at `address`. */
  async load(address: string): Promise<TargetResult<LoadReport>> {
    const result = await this.request(address, 'GET', '/load');
    if (result.kind !== 'ok') return result;
    const parsed = loadReportSchema.safeParse(result.value);
    return parsed.success
      ? { kind: 'ok', value: parsed.data }
      : { kind: 'failed', message: 'the load report has an unknown form' };
  }

  /** Sends an order; an engine that checks fencing refuses an old number with status 409. */
  order(address: string, body: unknown): Promise<TargetResult<unknown>> {
    return this.request(address, 'POST', '/orders', JSON.stringify(body));
  }

  close(): void {
    this.agent.destroy();
  }

  private request(
    address: string,
    method: string,
    path: string,
    body = '',
  ): Promise<TargetResult<unknown>> {
    const [host, port] = (this.dialMap[address] ?? address).split(':');
    const headers = bodyHeaders(body);
    return new Promise((resolve) => {
      const fail = (message: string): void => resolve({ kind: 'failed', message });
      const req = http.request({ host, port, path, method, headers, agent: this.agent }, (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', (err) => fail(err.message));
        res.on('end', () => {
          const data = Buffer.concat(chunks);
          this.onBytes({
            sent: body.length + REQUEST_HEADER_BYTES + headerBytes(Object.entries(headers).flat()),
            received: data.length + STATUS_LINE_BYTES + headerBytes(res.rawHeaders),
          });
          resolve(toTargetResult(res.statusCode ?? 0, data.toString('utf8')));
        });
      });
      // Connections of HTTP/1.1 are kept open without this header.
      req.removeHeader('connection');
      const timer = setTimeout(() => req.destroy(new Error('timeout')), REQUEST_TIMEOUT_MS);
      req.on('error', (err) => fail(err.message));
      req.on('close', () => {
        clearTimeout(timer);
        fail('connection closed');
      });
      req.end(body);
    });
  }
}

function bodyHeaders(body: string): Record<string, string> {
  if (body === '') return {};
  return {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  };
}

function toTargetResult(status: number, text: string): TargetResult<unknown> {
  try {
    const value: unknown = text === '' ? {} : JSON.parse(text);
    return status >= 200 && status < 300
      ? { kind: 'ok', value }
      : { kind: 'refused', status, body: value };
  } catch {
    return { kind: 'failed', message: 'answer is not JSON' };
  }
}
