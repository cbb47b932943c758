/** Reads the body of a response that is not streamed. */
import type { IncomingMessage } from 'node:http';

/** Largest body of a response that is not streamed; it is buffered until it is complete. */
export const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

export type ResponseBodyResult =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'truncated'; readonly message: string }
  | { readonly kind: 'too-large'; readonly message: string };

/**
 * Buffers a response body. It is complete with its announced length, its last chunk or, if it has
 * neither, the normal end of its connection.
 */
export function readResponseBody(res: IncomingMessage): Promise<ResponseBodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    res.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= MAX_RESPONSE_BYTES) return;
      resolve({ kind: 'too-large', message: 'the response body exceeds the size limit' });
      res.destroy();
    });
    res.on('end', () =>
      resolve(
        res.complete
          ? { kind: 'complete', body: Buffer.concat(chunks) }
          : { kind: 'truncated', message: 'the response ended before its body was complete' },
      ),
    );
    res.on('error', (err) => resolve({ kind: 'truncated', message: err.message }));
    res.on('close', () => resolve({ kind: 'truncated', message: 'connection closed' }));
  });
}
