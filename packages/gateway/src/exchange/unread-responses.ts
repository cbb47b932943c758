/** Limits the memory of short responses whose callers do not read them. */
import type { Socket } from 'node:net';
import { resetConnection } from '@marjoramcart/runtime';

/** Cost of a response that is not read, besides its body. */
const OVERHEAD_BYTES = 1024;

export interface UnreadResponsesOptions {
  /** Limit over all connections, bytes. */
  readonly maxBytes: number;
  /** Called for each connection that is closed because its caller does not read. */
  readonly onClosed: () => void;
}

export class UnreadResponses {
  private held = 0;

  /** Bytes that each connection has not taken. */
  private readonly unread = new Map<Socket, { bytes: number }>();

  constructor(private readonly options: UnreadResponsesOptions) {}

  /** Bytes of the responses that are not read. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Counts a response until it is sent or its connection closes. Beyond the limit the connections with the
   * most bytes are closed, which may be that of this response.
   *
   * @param bytes size of its body
   * @param closed resolves when the operating system has taken the response, or the connection is closed
   * @example unread.add(res.req.socket, body.length, response.closed)
   */
  add(socket: Socket, bytes: number, closed: Promise<void>): void {
    if (socket.destroyed) return;
    const cost = bytes + OVERHEAD_BYTES;
    const entry = this.unread.get(socket) ?? { bytes: 0 };
    this.unread.set(socket, entry);
    entry.bytes += cost;
    this.held += cost;
    void closed.then(() => {
      // The connection was closed to free its memory.
      if (this.unread.get(socket) !== entry) return;
      entry.bytes -= cost;
      this.held -= cost;
      if (entry.bytes === 0) this.unread.delete(socket);
    });
    while (this.held > this.options.maxBytes) this.closeLargest();
  }

  private closeLargest(): void {
    const [socket, { bytes }] = [...this.unread].reduce((a, b) =>
      b[1].bytes > a[1].bytes ? b : a,
    );
    this.unread.delete(socket);
    this.held -= bytes;
    // What the operating system has taken is freed only by a reset.
    resetConnection(socket);
    this.options.onClosed();
  }
}
