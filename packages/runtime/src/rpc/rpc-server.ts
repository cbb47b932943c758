/** JSON-RPC 2.0 over HTTP POST `/rpc`, authenticated; used between daemons. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { RpcMethod, RpcMethods } from '@marjoramcart/core';
import { readBody } from '../http/body.js';
import type { Logger } from '../logs/logger.js';
import { decodeBody, encodeBody, headerBytes } from './compression.js';
import { AUTH_HEADER, SENDER_HEADER, type MessageAuthenticator } from './authentication.js';

export const RPC_PATH = '/rpc';

/** Largest message; a first configuration with 25,000 customers is about 5 MB. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const BODY_TIMEOUT_MS = 5000;
/** Status line and the empty line after the headers. */
const STATUS_BYTES = 19;
/** Request line and the empty line after the headers. */
const REQUEST_LINE_BYTES = 22;
/** Method whose messages do not leave the VM. */
const LOCAL_METHOD = '"method":"entry.sync"';

export class RpcServer {
  private readonly server = new JSONRPCServer();

  private refusedCount = 0;

  private bytes = { received: 0, sent: 0 };

  private localBytes = { received: 0, sent: 0 };

  constructor(
    private readonly auth: MessageAuthenticator,
    private readonly log: Logger,
  ) {}

  /** Messages refused because they were not authenticated. */
  get refused(): number {
    return this.refusedCount;
  }

  /** Bytes of `entry.sync` messages, which stay on this VM, with their headers. */
  get localTraffic(): Readonly<{ received: number; sent: number }> {
    return this.localBytes;
  }

  /** Bytes of all other messages with their headers since the start. */
  get traffic(): Readonly<{ received: number; sent: number }> {
    return this.bytes;
  }

  /** Adds a method. */
  method<Method extends RpcMethod>(
    name: Method,
    handler: (
      params: RpcMethods[Method]['params'],
    ) => RpcMethods[Method]['result'] | Promise<RpcMethods[Method]['result']>,
  ): void {
    this.server.addMethod(name, handler);
  }

  /** Handles a request for `/rpc`. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, { maxBytes: MAX_MESSAGE_BYTES, timeoutMs: BODY_TIMEOUT_MS });
    if (body.kind !== 'complete') {
      res.writeHead(400, { connection: 'close' }).end();
      return;
    }
    const sender = String(req.headers[SENDER_HEADER] ?? '');
    const verdict = this.auth.verify(req.headers[AUTH_HEADER] as string | undefined, {
      path: RPC_PATH,
      sender,
      content: body.data,
    });
    if (verdict.kind === 'refused') {
      this.refusedCount += 1;
      this.log.warn('message refused: not authenticated', {
        reason: verdict.failure.kind,
        from: req.socket.remoteAddress,
      });
      res.writeHead(401, { connection: 'close' }).end();
      return;
    }
    const encoding = req.headers['content-encoding'];
    const text = await decodeBody(body.data, encoding, MAX_MESSAGE_BYTES).catch(() => undefined);
    if (text === undefined) {
      res.writeHead(400, { connection: 'close' }).end();
      return;
    }
    const local = text.includes(LOCAL_METHOD);
    const bytes = local ? this.localBytes : this.bytes;
    bytes.received += body.data.length + REQUEST_LINE_BYTES + headerBytes(req.rawHeaders);
    const result = JSON.stringify((await this.server.receiveJSON(text)) ?? null);
    // Compression would cost more than it saves on loopback.
    const answer = local
      ? { data: Buffer.from(result, 'utf8'), headers: {} }
      : await encodeBody(result, req.headers['accept-encoding'] !== 'identity');
    const headers = { 'content-length': answer.data.length, ...answer.headers };
    bytes.sent +=
      answer.data.length + STATUS_BYTES + headerBytes(Object.entries(headers).flat().map(String));
    // Saves bytes: daemons use no date, and HTTP/1.1 keeps connections without a header.
    res.sendDate = false;
    if (!res.hasHeader('connection')) res.removeHeader('connection');
    res.writeHead(200, headers);
    res.end(answer.data);
  }
}
