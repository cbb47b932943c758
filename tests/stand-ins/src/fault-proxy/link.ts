/**
 * One listener of the fault proxy. It forwards each connection to its target through two flows, one
 * per direction, and injects faults into the responses.
 */
import { appendFileSync } from 'node:fs';
import net, { type Socket } from 'node:net';
import { resetConnection } from '@marjoramcart/runtime';
import { LOOPBACK } from '../common/http-server.js';
import type { Flow } from './flow.js';

/** Port of a listener and address of its target; `from` and `to` name the two ends of the link. */
export interface LinkOptions {
  readonly listen: number;
  readonly target: string;
  readonly from: string;
  readonly to: string;
}

/** Faults injected into the connections of a link. */
export interface LinkFaults {
  /** Resets a connection after this many response bytes; 0 disables the fault. */
  reset_after: number;
  /** Closes a connection normally after this many response bytes; 0 disables the fault. */
  truncate_after: number;
  /** File to which the bytes of both directions are appended; empty disables recording. */
  record: string;
}

const MAX_BUFFERED_BYTES = 1024 * 1024;

export class Link {
  readonly faults: LinkFaults = { reset_after: 0, truncate_after: 0, record: '' };

  /** Client socket and target socket of each open connection. */
  private readonly pairs = new Set<[Socket, Socket]>();

  private readonly server: net.Server;

  constructor(
    readonly options: LinkOptions,
    private readonly requestFlow: Flow,
    private readonly responseFlow: Flow,
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

  /** Resets all connections with a TCP RST. */
  reset(): void {
    this.pairs.forEach((pair) => pair.forEach(resetConnection));
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
      socket.on('error', () => {
        const other = pair[1 - n];
        if (other) resetConnection(other);
      });
      socket.on('close', () => {
        if (!socket.readableEnded) pair[1 - n]?.destroy();
        // One socket may stay open after the other has closed, and `reset` must still reach it.
        if (pair.every(({ destroyed }) => destroyed)) this.pairs.delete(pair);
      });
    });
    this.forwardBytes(client, target, this.requestFlow, () => false);
    const response = { bytes: 0 };
    this.forwardBytes(target, client, this.responseFlow, (chunk) =>
      this.applyResponseFault(pair, response, chunk),
    );
  }

  /** Forwards chunks in order; `stop` returns true when it has closed the connection. */
  private forwardBytes(
    from: Socket,
    to: Socket,
    flow: Flow,
    stop: (chunk: Buffer) => boolean,
  ): void {
    const buffered = { bytes: 0, last: Promise.resolve() };
    from.on('data', (chunk: Buffer) => {
      buffered.bytes += chunk.length;
      if (buffered.bytes > MAX_BUFFERED_BYTES) from.pause();
      const transmitted = flow.transmit(chunk.length);
      buffered.last = buffered.last
        .then(() => transmitted)
        .then(() => {
          buffered.bytes -= chunk.length;
          if (buffered.bytes <= MAX_BUFFERED_BYTES && !to.writableNeedDrain) from.resume();
          this.recordBytes(chunk);
          if (!stop(chunk) && to.writable && !to.write(chunk)) {
            from.pause();
            to.once('drain', () => from.resume());
          }
        });
    });
    from.on('end', () => {
      const close = wasReset(from) ? resetConnection : endSocket;
      const transmitted = flow.transmit(0);
      buffered.last = buffered.last.then(() => transmitted).then(() => close(to));
    });
  }

  private applyResponseFault(
    [client, target]: [Socket, Socket],
    response: { bytes: number },
    chunk: Buffer,
  ) {
    const limit = this.faults.reset_after || this.faults.truncate_after;
    if (limit === 0) return false;
    const left = limit - response.bytes;
    Object.assign(response, { bytes: response.bytes + chunk.length });
    if (chunk.length < left) return false;
    client.write(chunk.subarray(0, Math.max(0, left)), () => {
      if (this.faults.reset_after > 0) resetConnection(client);
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

/**
 * Whether a socket at its end was reset. When a reset arrives together with the last bytes, libuv
 * reports an ordinary end; such a socket has no remote address, like one whose two sides have ended.
 */
function wasReset({ writableEnded, remoteAddress }: Socket): boolean {
  return !writableEnded && remoteAddress === undefined;
}

function endSocket(socket: Socket): void {
  socket.end();
}
