/** A listener of the fault proxy and its connections. */
import { appendFileSync } from 'node:fs';
import net, { type Socket } from 'node:net';
import { LOOPBACK } from '../common/http-server.js';
import type { Flow } from './flow.js';

/** Where a listener leads; `from` and `to` name the places that its flows join. */
export interface LinkOptions {
  readonly listen: number;
  readonly target: string;
  readonly from: string;
  readonly to: string;
}

/** Faults of a link's connections. */
export interface LinkFaults {
  /** Resets a connection after this many bytes of the answer; 0 is never. */
  reset_after: number;
  /** Ends a connection after this many bytes of the answer, as if the answer was whole. */
  truncate_after: number;
  /** File that receives all bytes of both directions. */
  record: string;
}

const MAX_HELD_BYTES = 1024 * 1024;

export class Link {
  readonly faults: LinkFaults = { reset_after: 0, truncate_after: 0, record: '' };

  private readonly pairs = new Set<[Socket, Socket]>();

  private readonly server: net.Server;

  constructor(
    readonly options: LinkOptions,
    private readonly forth: Flow,
    private readonly back: Flow,
  ) {
    this.server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) =>
      this.connect(client),
    );
  }

  get connections(): number {
    return this.pairs.size;
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.listen, LOOPBACK, resolve);
    });
  }

  /** Resets all connections. */
  reset(): void {
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  close(): void {
    this.reset();
    this.server.close();
  }

  private connect(client: Socket): void {
    const [host, port] = this.options.target.split(':');
    const target = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    const pair: [Socket, Socket] = [client, target];
    this.pairs.add(pair);
    pair.forEach((socket, n) => {
      socket.on('error', () => pair[1 - n]?.resetAndDestroy());
      socket.on('close', () => {
        if (!socket.readableEnded) pair[1 - n]?.destroy();
        // One side may stay open after the other ended; a reset has to reach it.
        if (pair.every(({ destroyed }) => destroyed)) this.pairs.delete(pair);
      });
    });
    this.forwardBytes(client, target, this.forth, () => false);
    const answer = { bytes: 0 };
    this.forwardBytes(target, client, this.back, (chunk) =>
      this.applyResponseFault(pair, answer, chunk),
    );
  }

  /** Passes chunks on in order; `stop` returns true when the connection was ended. */
  private forwardBytes(
    from: Socket,
    to: Socket,
    flow: Flow,
    stop: (chunk: Buffer) => boolean,
  ): void {
    const held = { bytes: 0, last: Promise.resolve() };
    from.on('data', (chunk: Buffer) => {
      held.bytes += chunk.length;
      if (held.bytes > MAX_HELD_BYTES) from.pause();
      const passed = flow.transmit(chunk.length);
      held.last = held.last
        .then(() => passed)
        .then(() => {
          held.bytes -= chunk.length;
          if (held.bytes <= MAX_HELD_BYTES && !to.writableNeedDrain) from.resume();
          this.recordBytes(chunk);
          if (!stop(chunk) && to.writable && !to.write(chunk)) {
            from.pause();
            to.once('drain', () => from.resume());
          }
        });
    });
    from.on('end', () => {
      const passed = flow.transmit(0);
      held.last = held.last.then(() => passed).then(() => endSocket(to));
    });
  }

  private applyResponseFault(
    [client, target]: [Socket, Socket],
    answer: { bytes: number },
    chunk: Buffer,
  ) {
    const limit = this.faults.reset_after || this.faults.truncate_after;
    if (limit === 0) return false;
    const left = limit - answer.bytes;
    Object.assign(answer, { bytes: answer.bytes + chunk.length });
    if (chunk.length < left) return false;
    client.write(chunk.subarray(0, Math.max(0, left)), () => {
      if (this.faults.reset_after > 0) client.resetAndDestroy();
      else client.end();
      target.destroy();
    });
    return true;
  }

  private recordBytes(chunk: Buffer): void {
    // eslint-disable-next-line n/no-sync
    if (this.faults.record !== '') appendFileSync(this.faults.record, chunk);
  }
}

function endSocket(socket: Socket): void {
  socket.end();
}
