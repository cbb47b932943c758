/** Stops reading from the connection of a message without queueing the pieces that are parsed already. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Messages that are held, with functions that let their connections be resumed. */
const held = new WeakMap<IncomingMessage, () => void>();

/** Stops the connection of a request again when the HTTP server resumes it; returns a function that ends that. */
function stopAgain(req: IncomingMessage): () => void {
  const { socket } = req;
  const onResume = (): void => {
    if (req.complete || req.destroyed) {
      socket.off('resume', onResume);
      return;
    }
    socket.pause();
    // A connection that counts as paused already emits no such event, by which the HTTP server stops its reads.
    socket.emit('pause');
  };
  socket.on('resume', onResume);
  return () => socket.off('resume', onResume);
}

/**
 * Stops reading from the connection. The pieces of its last read still arrive as events. When the
 * stream itself is paused, Node.js queues the pieces instead and reads on up to its high-water mark,
 * which in one-byte chunks takes several MB for each connection.
 *
 * @example holdReading(req)
 */
export function holdReading(msg: IncomingMessage): void {
  if (msg.complete || msg.destroyed) return;
  if (!held.has(msg)) {
    // The HTTP server may have arranged to resume the connection, as it does after each request.
    held.set(msg, msg.method ? stopAgain(msg) : () => undefined);
  }
  // Node.js calls this after each event, and resumes the connection in it.
  Object.assign(msg, { _read: () => undefined });
  // A client's connection may be detached from a message that has failed.
  (msg.socket as Socket | undefined)?.pause();
}

/** Reads on from a connection that was held; does nothing if it was not, or if its message has ended. */
export function continueReading(msg: IncomingMessage): void {
  const release = held.get(msg);
  if (!release) return;
  held.delete(msg);
  release();
  Reflect.deleteProperty(msg, '_read');
  if (!msg.complete && !msg.destroyed) msg.socket.resume();
}

/**
 * Drops what has arrived of the body of a refused request, and reads no more until `continueReading`.
 * Its response may have to wait for earlier ones of its connection.
 *
 * @example dropBody(req)
 */
export function dropBody(req: IncomingMessage): void {
  if (req.complete) return;
  req.resume();
  holdReading(req);
}
