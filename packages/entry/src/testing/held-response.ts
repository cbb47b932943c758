/** Response of an entry or a target that stays in memory. */
import { EventEmitter } from 'node:events';

/** The part of a server's response that an answer needs; it emits `answered` at its end. */
export class InMemoryResponse extends EventEmitter {
  statusCode = 200;

  headers: Record<string, unknown> = {};

  body: Buffer = Buffer.alloc(0);

  readonly writableFinished = true;

  writeHead(status: number, headers: Record<string, unknown>): this {
    this.statusCode = status;
    this.headers = headers;
    return this;
  }

  end(body: string | Buffer): void {
    this.body = Buffer.from(body);
    this.emit('answered');
  }
}
