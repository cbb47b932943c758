/** Reads the body of an HTTP message up to a size limit and a timeout. */
import type { IncomingMessage } from 'node:http';

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

export type BodyResult =
  | { readonly kind: 'complete'; readonly data: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'too-slow' }
  | { readonly kind: 'aborted' };

/**
 * Reads a body to its end. When a limit is exceeded, the rest stays unread and the caller of this
 * function must close the connection.
 *
 * @example const body = await readBody(req, { maxBytes: 4_194_304, timeoutMs: 15_000 })
 */
export function readBody(msg: IncomingMessage, limits: BodyLimits): Promise<BodyResult> {
  const announcedBytes = Number(msg.headers['content-length'] ?? 0);
  if (announcedBytes > limits.maxBytes) return Promise.resolve({ kind: 'too-large' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timeout: { handle?: NodeJS.Timeout } = {};
    const finish = (result: BodyResult): void => {
      clearTimeout(timeout.handle);
      msg.removeAllListeners('data');
      if (result.kind !== 'complete') msg.pause();
      resolve(result);
    };
    timeout.handle = setTimeout(() => finish({ kind: 'too-slow' }), limits.timeoutMs);
    msg.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) finish({ kind: 'too-large' });
      else chunks.push(chunk);
    });
    msg.on('end', () => finish({ kind: 'complete', data: Buffer.concat(chunks) }));
    msg.on('error', () => finish({ kind: 'aborted' }));
    msg.on('close', () => finish({ kind: 'aborted' }));
  });
}
