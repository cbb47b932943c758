/** Closes a connection whose request is refused unread, without a reset that destroys the answer. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '../timers/timer-service.js';

export const LingeringCloseLimits = {
  /** Twice the longest body that is accepted, for callers that read only after they have sent. */
  MaxBytes: 8 * 1024 * 1024,
  MaxMs: 2000,
  /** Without reading the caller's end can't be seen, so the whole time passes. */
  MaxUnreadMs: 1000,
} as const;

/**
 * Half-closes the connection of a refused request after its answer was written. Closing at once
 * while bytes arrive makes the kernel send a reset, on which the caller loses an answer that it has
 * not read yet. With `mayRead` the rest of the request is read and discarded within the bounds;
 * without, as residency demands, it stays unread.
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
  const stopTimer = timers.after(
    mayRead ? LingeringCloseLimits.MaxMs : LingeringCloseLimits.MaxUnreadMs,
    close,
  );
  socket.once('close', stopTimer);
  socket.end();
  if (!mayRead) return;
  let discarded = 0;
  req.on('data', (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > LingeringCloseLimits.MaxBytes) close();
  });
  req.on('error', close);
  req.on('end', close);
  req.resume();
}

/** Connections that were answered after bytes that are no valid HTTP; their rest is discarded. */
export class RefusedConnections {
  private readonly discarded = new WeakMap<Socket, number>();

  constructor(private readonly timers: Pick<TimerService, 'after'>) {}

  /** Answers the connection and half-closes it. */
  refuse(socket: Socket, answer: string): void {
    this.discarded.set(socket, 0);
    const close = (): void => {
      socket.destroy();
    };
    const stopTimer = this.timers.after(LingeringCloseLimits.MaxMs, close);
    socket.once('close', stopTimer);
    socket.once('end', close);
    socket.end(answer);
  }

  /**
   * Counts further bytes of a refused connection, each piece of which is another parser error.
   * False when the connection was not refused before.
   */
  discard(socket: Socket, bytes: number): boolean {
    const before = this.discarded.get(socket);
    if (before === undefined) return false;
    this.discarded.set(socket, before + bytes);
    if (before + bytes > LingeringCloseLimits.MaxBytes) socket.destroy();
    return true;
  }
}
