/** Reads the body of an HTTP message with a size limit and a timeout. */
import type { IncomingMessage } from 'node:http';
import type { BodyMemory } from './body-memory.js';
import { collectBody } from './collect-body.js';

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Limits all bodies that are read at the same time. */
  readonly memory?: BodyMemory;
}

export type BodyResult =
  | { readonly kind: 'complete'; readonly data: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'too-slow' }
  /** The memory for bodies is used up. */
  | { readonly kind: 'no-memory' }
  | { readonly kind: 'aborted' };

/**
 * Reads a body to its end. When a limit is exceeded, the rest stays unread and the caller of this
 * function must close the connection.
 *
 * @example const body = await readBody(req, { maxBytes: 4_194_304, timeoutMs: 15_000 })
 */
export function readBody(msg: IncomingMessage, limits: BodyLimits): Promise<BodyResult> {
  const { maxBytes, timeoutMs, memory } = limits;
  const allocation = memory?.allocate();
  return new Promise((resolve) => {
    const timeout: { handle?: NodeJS.Timeout } = {};
    const collector = collectBody(msg, { maxBytes, allocation }, (result) => {
      clearTimeout(timeout.handle);
      // The message is handled in the same turn; only bodies that are being read are limited.
      allocation?.release();
      resolve(result.kind === 'complete' ? { kind: 'complete', data: result.body } : result);
    });
    // What arrived during a pause of the process is read in the poll before an immediate.
    timeout.handle = setTimeout(
      () => setImmediate(() => collector.stop({ kind: 'too-slow' })),
      timeoutMs,
    );
    collector.start();
  });
}
