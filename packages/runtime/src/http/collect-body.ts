/** Collects the body of a message at a bounded cost, whatever the size of its pieces is. */
import type { IncomingMessage } from 'node:http';
import { BodyBlocks } from './body-blocks.js';
import type { BodyAllocation } from './body-memory.js';
import { bodyPacer } from './body-pacer.js';
import { holdReading } from './hold-reading.js';

export type CollectResult =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'too-slow' }
  | { readonly kind: 'no-memory' }
  | { readonly kind: 'aborted' };

export interface CollectOptions {
  readonly maxBytes: number;
  /** Memory for the body; absent if it is not limited. */
  readonly allocation?: BodyAllocation | undefined;
}

export interface BodyCollector {
  /** Bytes that were received. */
  readonly size: number;
  /** Starts to read, which may end at once. */
  start(): void;
  /** Stops to read with a result other than `complete`. */
  stop(result: CollectResult): void;
}

/**
 * Prepares to collect a body. After any result but `complete`, what has arrived already is discarded
 * and nothing more is read until `continueReading`.
 *
 * @param onResult called once
 * @example collectBody(req, { maxBytes: 1024 }, (result) => resolve(result)).start()
 */
export function collectBody(
  msg: IncomingMessage,
  { maxBytes, allocation }: CollectOptions,
  onResult: (result: CollectResult) => void,
): BodyCollector {
  const announced = msg.headers['content-length'];
  const announcedBytes = Number(announced ?? 0);
  const hasBody = announcedBytes > 0 || msg.headers['transfer-encoding'] !== undefined;
  const blocks = new BodyBlocks(announced === undefined ? Infinity : announcedBytes);
  let pieces = 0;
  let size = 0;
  // The listeners stay as long as the message, and must not keep its body in memory with the result.
  let deliver: ((result: CollectResult) => void) | undefined = onResult;
  const finish = (result: CollectResult): void => {
    if (!deliver) return;
    const settle = deliver;
    deliver = undefined;
    bodyPacer.remove(msg);
    blocks.clear();
    if (result.kind === 'complete') allocation?.settle(result.body.length);
    else {
      allocation?.release();
      holdReading(msg);
    }
    settle(result);
  };
  const onData = (piece: Buffer): void => {
    if (!deliver) return;
    size += piece.length;
    if (size > maxBytes) {
      finish({ kind: 'too-large' });
      return;
    }
    blocks.add(piece);
    pieces += 1;
    if (allocation?.receive(piece.length, blocks.capacity) === false) {
      finish({ kind: 'no-memory' });
      return;
    }
    bodyPacer.onPiece(msg, pieces, size);
  };
  return {
    get size() {
      return size;
    },
    start: () => {
      if (announcedBytes > maxBytes) {
        finish({ kind: 'too-large' });
        return;
      }
      const isOpen =
        !allocation ||
        !hasBody ||
        allocation.open(announcedBytes, () => finish({ kind: 'no-memory' }));
      if (!isOpen) {
        finish({ kind: 'no-memory' });
        return;
      }
      // Stays after the end, so that what follows is discarded instead of queued.
      msg.on('data', onData);
      msg.on('end', () => finish({ kind: 'complete', body: blocks.take() }));
      msg.on('error', () => finish({ kind: 'aborted' }));
      msg.on('close', () => finish({ kind: 'aborted' }));
    },
    stop: finish,
  };
}
