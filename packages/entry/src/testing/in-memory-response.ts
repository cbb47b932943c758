/** In-memory HTTP response of an entry or a target. */
import { EventEmitter } from 'node:events';

/** The members of `ServerResponse` that `CallerResponse` uses; emits `finish` when it ends. */
export class InMemoryResponse extends EventEmitter {
  statusCode = 200;

  headers: Record<string, unknown> = {};

  body: Buffer = Buffer.alloc(0);

  readonly writableFinished = true;

  /** The connection never closes. */
  readonly req = { socket: new EventEmitter() };

  writeHead(status: number, headers: Record<string, unknown>): this {
    this.statusCode = status;
    this.headers = headers;
    return this;
  }

  end(body: string | Buffer): void {
    this.body = Buffer.from(body);
    this.emit('finish');
  }
}
