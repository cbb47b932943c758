/** HTTP client that reads load reports of targets and sends orders to them. */
import http from 'node:http';
import { PooledAgent, headerBytes } from '@marjoramcart/runtime';
import { loadReportSchema, type LoadReport } from './load-report.js';

export type TargetResult<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'refused'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'failed'; readonly message: string };

const REQUEST_TIMEOUT_MS = 900;
/** Request line, host header and the empty line, which Node.js adds. */
const REQUEST_HEADER_BYTES = 51;
/** Status line and the empty line after the headers. */
const STATUS_LINE_BYTES = 19;

export class TargetClient {
  private readonly agent = new PooledAgent();

  /**
   * @param dialMap address to dial instead, by address of the target
   * @param onBytes called with the bytes of each request and response
   */
  constructor(
    private readonly dialMap: Readonly<Record<string, string>> = {},
    private readonly onBytes: (bytes: { sent: number; received: number }) => void = () => {},
  ) {}

  /** Reads the load report of the target at `address`. */
  async readLoadReport(address: string): Promise<TargetResult<LoadReport>> {
    const result = await this.request(address, 'GET', '/load');
    if (result.kind !== 'ok') return result;
    const parsed = loadReportSchema.safeParse(result.value);
    return parsed.success
      ? { kind: 'ok', value: parsed.data }
      : { kind: 'failed', message: 'invalid load report' };
  }

  /** Sends an order; an engine that checks fencing numbers refuses an old one with status 409. */
  sendOrder(address: string, body: unknown): Promise<TargetResult<unknown>> {
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
      // HTTP/1.1 keeps connections open without this header; leaving it out saves bytes.
      req.removeHeader('connection');
      const timer = setTimeout(
        () => req.destroy(new Error(`no response within ${REQUEST_TIMEOUT_MS} ms`)),
        REQUEST_TIMEOUT_MS,
      );
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
    return { kind: 'failed', message: 'response is not JSON' };
  }
}
