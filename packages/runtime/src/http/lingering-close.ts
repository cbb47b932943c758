/** Closes the connection of a refused request without a reset, which could discard the response. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '../timers/timer-service.js';
import { discardBody, MAX_DISCARDED_BYTES } from './discard-body.js';
import { dropBody } from './hold-reading.js';
import { Pipeline } from './pipeline.js';

export const LingeringCloseLimits = {
  /** For callers that read the response only after sending. */
  MaxBytes: MAX_DISCARDED_BYTES,
  MaxMs: 2000,
  /** Without reading, the end of the request is not seen, so this time always elapses. */
  MaxUnreadMs: 1000,
} as const;

/**
 * Half-closes the connection of a refused request after its response was written, and handles no
 * further requests of it. If the connection were closed at once while bytes still arrive, the operating
 * system would send a reset, and the caller would lose a response that it has not read yet. With
 * `mayRead`, the rest of the request is read and discarded up to the limits. Without it, as data
 * residency requires, the rest stays unread.
 *
 * @example lingeringClose(req, timers, true)
 */
export function lingeringClose(
  req: IncomingMessage,
  timers: Pick<TimerService, 'after'>,
  mayRead: boolean,
): void {
  const { socket } = req;
  const close = (): void => {
    socket.destroy();
  };
  Pipeline.of(socket).end(() => undefined);
  const stopTimer = timers.after(
    mayRead ? LingeringCloseLimits.MaxMs : LingeringCloseLimits.MaxUnreadMs,
    close,
  );
  socket.once('close', stopTimer);
  socket.end();
  // The HTTP server calls this after a response to a client that asked to close the connection.
  Object.assign(socket, { destroySoon: () => undefined });
  if (!mayRead) {
    dropBody(req);
    return;
  }
  req.on('error', close);
  req.on('end', close);
  discardBody(req, close);
}

/**
 * Half-closes a connection after its last response, so that a request that its client is just sending
 * does not cause a reset. The HTTP server discards what arrives until the client closes as well.
 *
 * @example halfClose(res.req.socket, timers)
 */
export function halfClose(socket: Socket, timers: Pick<TimerService, 'after'>): void {
  const close = (): void => {
    socket.destroy();
  };
  const stopTimer = timers.after(LingeringCloseLimits.MaxUnreadMs, close);
  socket.once('close', stopTimer);
  socket.once('end', close);
  socket.end();
  Object.assign(socket, { destroySoon: () => undefined });
}

/** Connections that sent invalid HTTP and got an error response; further bytes are discarded. */
export class RefusedConnections {
  private readonly discarded = new WeakMap<Socket, number>();

  constructor(private readonly timers: Pick<TimerService, 'after'>) {}

  /** Sends the response and half-closes the connection. */
  refuse(socket: Socket, response: string): void {
    this.discarded.set(socket, 0);
    const close = (): void => {
      socket.destroy();
    };
    const stopTimer = this.timers.after(LingeringCloseLimits.MaxMs, close);
    socket.once('close', stopTimer);
    socket.once('end', close);
    socket.end(response);
  }

  /**
   * Counts further bytes of a refused connection; each chunk of them raises another parser error.
   * Returns false when the connection was not refused before.
   */
  discard(socket: Socket, bytes: number): boolean {
    const before = this.discarded.get(socket);
    if (before === undefined) return false;
    this.discarded.set(socket, before + bytes);
    if (before + bytes > LingeringCloseLimits.MaxBytes) socket.destroy();
    return true;
  }
}
