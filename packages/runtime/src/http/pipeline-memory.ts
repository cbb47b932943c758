/** Limits what pipelined requests of all connections take up while they wait for the responses before them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export const PipelineMemoryLimits = {
  /** Limit of the requests that are handled while they wait, if its owner names none; some 1200 short ones. */
  MaxBytes: 12 * 1024 * 1024,
  /** Limit of all that wait, with those that are not handled as their connections close, by that limit. */
  TotalFactor: 4 / 3,
  /** Cost of a request that is handled, besides its head. */
  OverheadBytes: 10 * 1024,
  /** Cost of each name and each value in a head, besides its text. */
  TextOverheadBytes: 48,
  /** Cost of one that is not handled, which Node.js keeps until the first response ends. */
  DroppedBytes: 2 * 1024,
} as const;

export class PipelineMemory {
  private held = 0;

  /** Bytes of each connection with requests that wait. */
  private readonly ofConnection = new Map<Socket, number>();

  /** @param maxBytes limit of the requests that are handled while they wait */
  constructor(private readonly maxBytes: number = PipelineMemoryLimits.MaxBytes) {}

  /** Bytes of all requests that wait. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether one more request may wait. */
  hasRoom(req: IncomingMessage): boolean {
    return this.held + costOf(req) <= this.maxBytes;
  }

  /** Adds a request that is handled, until its response or its connection closes. */
  add(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const bytes = costOf(req);
    this.charge(socket, bytes);
    res.once('close', () => {
      if (this.ofConnection.has(socket)) this.charge(socket, -bytes);
    });
  }

  /**
   * Adds a request that is not handled, until its connection closes.
   *
   * @returns false if there are too many, so that the connection must be closed at once
   * @example if (!memory.addDropped(req)) req.socket.destroy();
   */
  addDropped(req: IncomingMessage): boolean {
    this.charge(req.socket, PipelineMemoryLimits.DroppedBytes + headBytes(req));
    return this.held <= this.maxBytes * PipelineMemoryLimits.TotalFactor;
  }

  private charge(socket: Socket, bytes: number): void {
    const before = this.ofConnection.get(socket);
    if (before === undefined) {
      if (socket.closed) return;
      // Responses that still wait then do not tell of the end of the connection.
      socket.once('close', () => {
        this.held -= this.ofConnection.get(socket) ?? 0;
        this.ofConnection.delete(socket);
      });
    }
    this.ofConnection.set(socket, (before ?? 0) + bytes);
    this.held += bytes;
  }
}

function costOf(req: IncomingMessage): number {
  return PipelineMemoryLimits.OverheadBytes + headBytes(req);
}

/** Heap that the head of a request takes up; many short lines cost some ten times their bytes. */
function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + PipelineMemoryLimits.TextOverheadBytes,
    url.length,
  );
}
