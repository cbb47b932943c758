/** Reads the body of a response that is not streamed. */
import type { IncomingMessage } from 'node:http';
import { BodyBlocks } from './body-blocks.js';

/** Largest body of a response that is not streamed. */
export const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** A smaller body is always held, so that a failure can be followed by another attempt. */
export const SMALL_RESPONSE_BYTES = 64 * 1024;

export type ResponseBodyResult =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'truncated'; readonly message: string }
  | { readonly kind: 'too-large'; readonly message: string }
  /** There is no memory for the rest; the response is paused after these bytes. */
  | { readonly kind: 'paused'; readonly body: Buffer };

/**
 * Buffers a response body. It is complete with its announced length, its last chunk or, if it has
 * neither, the normal end of its connection.
 *
 * @param mayHold called with the size of each part of a body that is not small, bytes; reading stops when it
 *   returns false
 * @example const body = await readResponseBody(res, (bytes) => allocation.grow(bytes))
 */
export function readResponseBody(
  res: IncomingMessage,
  mayHold: (bytes: number) => boolean = () => true,
): Promise<ResponseBodyResult> {
  return new Promise((resolve) => {
    const blocks = new BodyBlocks();
    let size = 0;
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      blocks.add(chunk);
      if (size > MAX_RESPONSE_BYTES) {
        resolve({ kind: 'too-large', message: 'the response body exceeds the size limit' });
        res.destroy();
      } else if (size > SMALL_RESPONSE_BYTES && !mayHold(chunk.length)) {
        res.off('data', onData);
        res.pause();
        resolve({ kind: 'paused', body: blocks.take() });
      }
    };
    res.on('data', onData);
    res.on('end', () =>
      resolve(
        res.complete
          ? { kind: 'complete', body: blocks.take() }
          : { kind: 'truncated', message: 'the response ended before its body was complete' },
      ),
    );
    res.on('error', (err) => resolve({ kind: 'truncated', message: err.message }));
    res.on('close', () => resolve({ kind: 'truncated', message: 'connection closed' }));
    // The response may have failed right after its head, before it had listeners.
    if (res.destroyed) resolve({ kind: 'truncated', message: 'the response broke off' });
  });
}
