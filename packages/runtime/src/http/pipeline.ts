/** Responses on a connection whose client sends further requests before it has received a response. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const pipelines = new WeakMap<Socket, Pipeline>();

/** Responses that close their connection although their clients did not ask for it. */
const closing = new WeakSet<ServerResponse>();

/** Unfinished responses of a connection, in the order of their requests. */
export class Pipeline {
  private readonly open = new Set<ServerResponse>();

  /** Requests that are not handled. */
  private discarded = 0;

  /**
   * Response to the latest request, the only one that may announce the close. It is forgotten once it has
   * closed, as it would keep its request in memory for as long as the connection is open.
   */
  private last: ServerResponse | undefined;

  /** Whether a response that has closed told its client that the connection closes after it. */
  private closed = false;

  /** Whether no further request of the connection is handled. */
  private ended = false;

  private onEmpty: (() => void) | undefined;

  static of(socket: Socket): Pipeline {
    const known = pipelines.get(socket);
    if (known) return known;
    const pipeline = new Pipeline();
    pipelines.set(socket, pipeline);
    socket.once('close', () => pipeline.onDisconnect());
    return pipeline;
  }

  get size(): number {
    return this.open.size;
  }

  /** Whether a response was begun that closes the connection. */
  get isClosing(): boolean {
    return this.closed || (this.last !== undefined && closesConnection(this.last));
  }

  /** Whether a complete request waits for its response; only the latest may not have been read to its end. */
  get hasPending(): boolean {
    if (this.size !== 1 || !this.last) return this.size > 0;
    return this.last.req.complete || this.last.headersSent;
  }

  /** Counts a request that is not handled; returns the number of them. */
  discard(): number {
    this.discarded += 1;
    return this.discarded;
  }

  /** Adds the response to a new request; returns false if the connection closes before its turn. */
  add(res: ServerResponse): boolean {
    if (this.ended || this.isClosing) return false;
    // Node.js closes the connection after the first response that says so.
    if (this.last) withdrawClose(this.last);
    this.open.add(res);
    this.last = res;
    return true;
  }

  remove(res: ServerResponse): void {
    this.open.delete(res);
    if (res === this.last) {
      this.closed = closesConnection(res);
      this.last = undefined;
    }
    if (this.hasPending) return;
    if (!this.isClosing) this.onEmpty?.();
    this.onEmpty = undefined;
  }

  /** Node.js tells only the response whose turn it is that the connection has closed. */
  private onDisconnect(): void {
    [...this.open]
      .filter((res) => !res.socket && !res.writableFinished)
      .forEach((res) => res.emit('close'));
  }

  /** Announces in the response that is left that the connection closes after it, unless there are more. */
  announceClose(): void {
    if (this.size === 1 && this.last && !this.last.headersSent) announceClose(this.last);
  }

  /**
   * Handles no further requests, and calls `fn` after the last response unless that closes the
   * connection. A request that has not been read to its end gets no response of its own.
   */
  end(fn: () => void): void {
    this.ended = true;
    if (this.isClosing) return;
    if (this.hasPending) this.onEmpty ??= fn;
    else fn();
  }
}

/**
 * Closes the connection after a response, unless that would cut the responses to further requests.
 *
 * @example closeAfter(res); res.writeHead(401).end();
 */
export function closeAfter(res: ServerResponse): void {
  const { req } = res;
  // No further request is read before the body of this one.
  if (!req.complete || Pipeline.of(req.socket).size <= 1) announceClose(res);
}

/** Node.js adds the header itself; one that was set before would merge repeated headers of the response. */
function announceClose(res: ServerResponse): void {
  if (!res.shouldKeepAlive) return;
  res.shouldKeepAlive = false;
  closing.add(res);
}

function withdrawClose(res: ServerResponse): void {
  if (res.headersSent || !closing.delete(res)) return;
  res.shouldKeepAlive = true;
}

/** Whether a response closes its connection although its client did not ask for it. */
export function isCloseAnnounced(res: ServerResponse): boolean {
  return closing.has(res);
}

/** Whether the response told its client that the connection closes after it. */
function closesConnection({ headersSent, shouldKeepAlive }: ServerResponse): boolean {
  return headersSent && !shouldKeepAlive;
}
