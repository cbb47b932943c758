/** Drops the body of a refused request at a bounded cost, so that the end of its connection is seen. */
import type { IncomingMessage } from 'node:http';
import { bodyPacer } from './body-pacer.js';
import { continueReading, holdReading } from './hold-reading.js';

/** Bytes of a connection that are read for it: twice the largest accepted body. */
export const MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

interface Discard {
  /** Bytes of its connection at which the body is not read any further. */
  readonly limit: number;
  onLimit: () => void;
}

const discards = new WeakMap<IncomingMessage, Discard>();

/**
 * Reads the rest of a body and drops it, that in tiny chunks at the pace of `bodyPacer`. After
 * `MAX_DISCARDED_BYTES`, with the framing of chunks, nothing more is read.
 *
 * @param onLimit called then; replaces that of an earlier call for the same request
 * @example discardBody(req, () => req.socket.destroy())
 */
export function discardBody(req: IncomingMessage, onLimit: () => void = () => undefined): void {
  const { socket } = req;
  const known = discards.get(req);
  if (known) {
    known.onLimit = onLimit;
    if (socket.bytesRead > known.limit) onLimit();
    return;
  }
  const discard: Discard = { limit: socket.bytesRead + MAX_DISCARDED_BYTES, onLimit };
  discards.set(req, discard);
  let pieces = 0;
  let bytes = 0;
  const forget = (): void => bodyPacer.remove(req);
  req.on('data', (piece: Buffer) => {
    pieces += 1;
    bytes += piece.length;
    if (socket.bytesRead <= discard.limit) {
      bodyPacer.onPiece(req, pieces, bytes);
      return;
    }
    forget();
    holdReading(req);
    discard.onLimit();
  });
  req.once('end', forget);
  req.once('close', forget);
  continueReading(req);
  req.resume();
  // Node.js removes the listeners of a request that nobody has read when its response ends.
  // eslint-disable-next-line no-underscore-dangle
  req._read(0);
}
