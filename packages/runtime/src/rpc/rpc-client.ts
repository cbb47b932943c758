/** JSON-RPC client for messages between daemons. */
import http from 'node:http';
import { JSONRPCClient } from 'json-rpc-2.0';
import type { RpcMethod, RpcMethods } from '@marjoramcart/core';
import { AUTH_HEADER, SENDER_HEADER, type MessageAuthenticator } from './authentication.js';
import { decodeBody, encodeBody, headerBytes } from './compression.js';
import { PooledAgent } from '../http/pooled-agent.js';
import { MAX_MESSAGE_BYTES, RPC_PATH } from './rpc-server.js';

/** Error of a call without a result. The other daemon may still have handled the message. */
export type RpcError =
  | { readonly kind: 'unreachable'; readonly message: string }
  | { readonly kind: 'timeout'; readonly timeoutMs: number }
  | { readonly kind: 'refused'; readonly status: number }
  | { readonly kind: 'failed'; readonly message: string };

export type RpcResult<Value> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'error'; readonly error: RpcError };

const DEFAULT_TIMEOUT_MS = 2000;
/** Request line, host header and empty line, which Node.js adds. */
const NODE_HEADER_BYTES = 48;
/** Below the 5 s after which servers close an idle connection without announcing it. */
const IDLE_TIMEOUT_MS = 4000;
/** Status line and empty line after the headers. */
const STATUS_BYTES = 19;
const UNAUTHORIZED = 401;

export class RpcClient {
  private readonly agent = new PooledAgent({ maxSockets: 8, timeout: IDLE_TIMEOUT_MS });

  /** Addresses of daemons of an earlier release, which refuse the short form of the headers. */
  private readonly longHeaderAddresses = new Set<string>();

  private bytes = { received: 0, sent: 0 };

  /**
   * @param auth signs the messages
   * @param sender boot id of this process
   * @param dialMap addresses to connect to in place of a daemon's own address
   * @param compress whether long messages are compressed, both requests and responses
   */
  constructor(
    private readonly auth: MessageAuthenticator,
    private readonly sender: string,
    private readonly dialMap: Readonly<Record<string, string>> = {},
    private readonly compress = true,
  ) {}

  /** Bytes of all messages since the start, including headers. */
  get traffic(): Readonly<{ received: number; sent: number }> {
    return this.bytes;
  }

  /**
   * Calls a method of the daemon at `address` (`ip:port`). Failures are returned, not thrown.
   *
   * @example await client.call('10.0.0.1:7001', 'vms.fetch', { from, version: 0 })
   */
  async call<Method extends RpcMethod>(
    address: string,
    method: Method,
    params: RpcMethods[Method]['params'],
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<RpcResult<RpcMethods[Method]['result']>> {
    const failure: { error?: RpcError } = {};
    const client = new JSONRPCClient(async (payload) => {
      const httpResult = await this.post(address, JSON.stringify(payload), timeoutMs);
      if (httpResult.kind === 'ok') client.receive(JSON.parse(httpResult.value) as never);
      else {
        failure.error = httpResult.error;
        throw new Error(httpResult.error.kind);
      }
    });
    try {
      const value = (await client.request(method, params)) as RpcMethods[Method]['result'];
      return { kind: 'ok', value };
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      return { kind: 'error', error: failure.error ?? { kind: 'failed', message } };
    }
  }

  close(): void {
    this.agent.destroy();
  }

  private async post(address: string, text: string, timeoutMs: number): Promise<RpcResult<string>> {
    const result = await this.send(address, text, timeoutMs);
    if (result.kind === 'ok') return result;
    const { error } = result;
    const refused = error.kind === 'refused' && error.status === UNAUTHORIZED;
    // After a failure the short form is tried again, as the daemon may have been upgraded.
    if (this.longHeaderAddresses.delete(address) || !refused) return result;
    this.longHeaderAddresses.add(address);
    return this.send(address, text, timeoutMs);
  }

  /** Signature headers. The short form uses base64url and omits the sender, named in the body. */
  private authHeaders(address: string, content: Buffer): Record<string, string> {
    const { sender } = this;
    return this.longHeaderAddresses.has(address)
      ? {
          'content-type': 'application/json',
          [SENDER_HEADER]: sender,
          [AUTH_HEADER]: this.auth.sign({ path: RPC_PATH, sender, content }),
        }
      : {
          [AUTH_HEADER]: this.auth.sign({ path: RPC_PATH, sender: '', content }, 'base64url'),
        };
  }

  private async send(address: string, text: string, timeoutMs: number): Promise<RpcResult<string>> {
    const { data: body, headers: encoding } = await encodeBody(text, this.compress);
    const [host, port] = (this.dialMap[address] ?? address).split(':');
    const headers = {
      'content-length': body.length,
      ...encoding,
      ...(this.compress ? {} : { 'accept-encoding': 'identity' }),
      ...this.authHeaders(address, body),
    };
    this.bytes.sent +=
      body.length + headerBytes(Object.entries(headers).flat().map(String)) + NODE_HEADER_BYTES;
    return new Promise((resolve) => {
      const fail = (error: RpcError): void => resolve({ kind: 'error', error });
      const req = http.request(
        { host, port, path: RPC_PATH, method: 'POST', headers, agent: this.agent },
        (res) => {
          const chunks: Buffer[] = [];
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.on('error', (err) => fail({ kind: 'unreachable', message: err.message }));
          res.on('end', () => {
            const response = Buffer.concat(chunks);
            this.bytes.received += response.length + STATUS_BYTES + headerBytes(res.rawHeaders);
            if (res.statusCode !== 200) fail({ kind: 'refused', status: res.statusCode ?? 0 });
            else {
              decodeBody(response, res.headers['content-encoding'], MAX_MESSAGE_BYTES).then(
                (value) => resolve({ kind: 'ok', value }),
                (err: Error) => fail({ kind: 'failed', message: err.message }),
              );
            }
          });
        },
      );
      // HTTP/1.1 keeps connections open without this header, so it is omitted to save bytes.
      req.removeHeader('connection');
      const timer = setTimeout(() => {
        fail({ kind: 'timeout', timeoutMs });
        req.destroy();
      }, timeoutMs);
      req.on('error', (err) => fail({ kind: 'unreachable', message: err.message }));
      req.on('close', () => clearTimeout(timer));
      req.end(body);
    });
  }
}
