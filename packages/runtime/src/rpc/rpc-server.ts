/** JSON-RPC 2.0 server for authenticated messages between daemons, over HTTP POST `/rpc`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { RpcMethod, RpcMethods } from '@marjoramcart/core';
import { BodyMemory } from '../http/body-memory.js';
import { readBody } from '../http/read-body.js';
import type { Logger } from '../logs/logger.js';
import { decodeBody, encodeBody, headerBytes } from './compression.js';
import { AUTH_HEADER, SENDER_HEADER, type MessageAuthenticator } from './authentication.js';

export const RPC_PATH = '/rpc';

/** Largest message; an initial configuration with 25,000 customers takes about 5 MB. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
/**
 * Limit of all messages that are read at the same time, which are not authenticated yet. Its share for
 * long ones has room for two of the largest.
 */
const MAX_MESSAGES_BYTES = 40 * 1024 * 1024;
const BODY_TIMEOUT_MS = 5000;
/** Status line and empty line after the headers. */
const STATUS_BYTES = 19;
/** Request line and empty line after the headers. */
const REQUEST_LINE_BYTES = 22;
/** JSON fragment that identifies messages of the method that is usually called from the same VM. */
const LOCAL_METHOD_JSON = '"method":"entry.sync"';

export class RpcServer {
  private readonly server = new JSONRPCServer();

  private readonly memory = new BodyMemory(MAX_MESSAGES_BYTES);

  private refusedCount = 0;

  private bytes = { received: 0, sent: 0 };

  private localBytes = { received: 0, sent: 0 };

  constructor(
    private readonly auth: MessageAuthenticator,
    private readonly log: Logger,
  ) {}

  /** Number of messages refused because their authentication failed. */
  get refused(): number {
    return this.refusedCount;
  }

  /** Bytes of `entry.sync` messages since the start, including headers; most stay on this VM. */
  get localTraffic(): Readonly<{ received: number; sent: number }> {
    return this.localBytes;
  }

  /** Bytes of all other messages since the start, including headers. */
  get traffic(): Readonly<{ received: number; sent: number }> {
    return this.bytes;
  }

  /** Registers the handler of a method. */
  method<Method extends RpcMethod>(
    name: Method,
    handler: (
      params: RpcMethods[Method]['params'],
    ) => RpcMethods[Method]['result'] | Promise<RpcMethods[Method]['result']>,
  ): void {
    this.server.addMethod(name, handler);
  }

  /** Handles an HTTP request to `/rpc`. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, {
      maxBytes: MAX_MESSAGE_BYTES,
      timeoutMs: BODY_TIMEOUT_MS,
      memory: this.memory,
    });
    if (body.kind !== 'complete') {
      res.writeHead(400, { connection: 'close' }).end();
      return;
    }
    const sender = String(req.headers[SENDER_HEADER] ?? '');
    const authResult = this.auth.verify(req.headers[AUTH_HEADER] as string | undefined, {
      path: RPC_PATH,
      sender,
      content: body.data,
    });
    if (authResult.kind === 'refused') {
      this.refusedCount += 1;
      this.log.warn('message refused: not authenticated', {
        reason: authResult.failure.kind,
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
    const local = text.includes(LOCAL_METHOD_JSON);
    const bytes = local ? this.localBytes : this.bytes;
    bytes.received += body.data.length + REQUEST_LINE_BYTES + headerBytes(req.rawHeaders);
    const result = JSON.stringify((await this.server.receiveJSON(text)) ?? null);
    // On the loopback interface compression costs more than it saves.
    const response = local
      ? { data: Buffer.from(result, 'utf8'), headers: {} }
      : await encodeBody(result, req.headers['accept-encoding'] !== 'identity');
    const headers = { 'content-length': response.data.length, ...response.headers };
    bytes.sent +=
      response.data.length + STATUS_BYTES + headerBytes(Object.entries(headers).flat().map(String));
    // Saves bytes: daemons do not use the date, and HTTP/1.1 keeps connections open by default.
    res.sendDate = false;
    if (!res.hasHeader('connection')) res.removeHeader('connection');
    res.writeHead(200, headers);
    res.end(response.data);
  }
}
