/** Stops reading from the connection of a message without queueing the pieces that are parsed already. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

const held = new WeakSet<IncomingMessage>();

/**
 * Stops reading from the connection. The pieces of its last read still arrive as events. When the
 * stream itself is paused, Node.js queues the pieces instead and reads on up to its high-water mark,
 * which in one-byte chunks takes several MB for each connection.
 *
 * @example holdReading(req)
 */
export function holdReading(msg: IncomingMessage): void {
  if (msg.complete || msg.destroyed) return;
  held.add(msg);
  // Node.js calls this after each event, and resumes the connection in it.
  Object.assign(msg, { _read: () => undefined });
  // A client's connection may be detached from a message that has failed.
  (msg.socket as Socket | undefined)?.pause();
}

/** Reads on from a connection that was held; does nothing if it was not, or if its message has ended. */
export function continueReading(msg: IncomingMessage): void {
  if (!held.delete(msg)) return;
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
