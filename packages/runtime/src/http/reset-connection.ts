/** Closes a connection with a reset. */
import type { Socket } from 'node:net';

/**
 * Resets a connection, also one that is just being ended. The operating system refuses to reset a connection
 * while its end is being sent. Node.js then never closes the socket: it emits no `close`, keeps the descriptor
 * and can't end the process.
 *
 * @example resetConnection(res.socket)
 */
export function resetConnection(socket: Socket): void {
  // The end is sent once all bytes are written.
  const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
  if (isEnding && !socket.destroyed) socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
