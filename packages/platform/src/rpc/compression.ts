/** Compression of messages between daemons; JSON tables shrink to a third or less. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';

export const ENCODING = 'deflate-raw';

/** Smaller messages gain less than the compression costs. */
const MIN_BYTES = 512;
const LEVEL = 6;

const deflate = promisify<Buffer, { level: number }, Buffer>(deflateRaw);
const inflate = promisify<Buffer, { maxOutputLength: number }, Buffer>(inflateRaw);

/** A message body as it goes over the wire. */
export interface EncodedBody {
  readonly data: Buffer;
  /** Headers that name the encoding; none when the body is sent as it is. */
  readonly headers: Readonly<Record<string, string>>;
}

/**
 * Compresses a text if that is worth it.
 *
 * @example (await encodeBody('{}')).headers // {}
 */
export async function encodeBody(text: string): Promise<EncodedBody> {
  const data = Buffer.from(text, 'utf8');
  if (data.length < MIN_BYTES) return { data, headers: {} };
  const headers = { 'content-encoding': ENCODING };
  return { data: await deflate(data, { level: LEVEL }), headers };
}

/**
 * Reverses `encodeBody`.
 *
 * @throws RangeError when the text is longer than `maxBytes`, or a zlib error when it is corrupt
 */
export async function decodeBody(
  data: Buffer,
  encoding: string | undefined,
  maxBytes: number,
): Promise<string> {
  if (encoding !== ENCODING) return data.toString('utf8');
  return (await inflate(data, { maxOutputLength: maxBytes })).toString('utf8');
}

/**
 * Size of received headers on the wire.
 *
 * @example headerBytes(['content-length', '2']) // 19
 */
export function headerBytes(rawHeaders: readonly string[]): number {
  const LINE_OVERHEAD_PER_PART = 2;
  return rawHeaders.reduce((sum, part) => sum + part.length + LINE_OVERHEAD_PER_PART, 0);
}
