/** Compression of messages between daemons; JSON tables shrink to a third or less. */
import { promisify } from 'node:util';
import { deflateRaw, deflateRawSync, inflateRaw, inflateRawSync } from 'node:zlib';

/** Names the format with its dictionary; both sides must have the same one. */
export const CONTENT_ENCODING = 'deflate-raw-1';

/** Smaller messages gain less than the header that names the encoding. */
const MIN_BYTES = 128;
/** Up to this size a message is compressed at once, which costs less than a thread's turn. */
const MAX_SYNC_BYTES = 32 * 1024;
const MAX_SYNC_ENCODED_BYTES = 8 * 1024;
const FAST_LEVEL = 3;

/** Names and forms that every message repeats; most gossip is shorter than a window. */
const DICTIONARY = Buffer.from(
  [
    '"models":["model-0@1:ready"],"expiresInMs":,"digest":"","deaths":,"refused":',
    '"services":["-service"],"leaving":false,"failures":0,"running":0,"queued":0,"waitMs":0,',
    '"concurrency":32,"sequence":0,"ageMs":0',
    '"failureDomain":"","region":"","version":,"entriesVersion":,"ageMs":,"services":[["',
    '"entries":[{"bootId":"","peerAddress":"10.0.0.1:7001","callerAddress":"10.0.0.1:8080",',
    '"draining":false,"openRequests":0},',
    '{"process":{"bootId":"","role":"entry","vm":"","region":"","failureDomain":"",',
    '"peerAddress":"","callerAddress":""},"heartbeat":,"revision":,',
    '"load":{"openRequests":0,"queued":0,"draining":false}}],"targets":[[',
    '{"jsonrpc":"2.0","id":1,"result":{"from":{"bootId":"","role":"control","vm":"","region":"",',
    '"failureDomain":"","peerAddress":""},"revision":,"rejectedRevision":0,"vmListVersion":,',
    '"origins":[],"summaries":[],"suspects":[]}}',
    '{"jsonrpc":"2.0","id":1,"method":"gossip.exchange","params":{"from":{"bootId":"',
    '","role":"control","vm":"","region":"","failureDomain":"","peerAddress":"',
    '"},"revision":,"rejectedRevision":0,"vmListVersion":,"heartbeats":{"',
    '"origins":[{"bootId":"","heartbeat":,"revision":}],"summaryVersions":{"',
    '},"summaries":[],"suspects":[]}}',
  ].join(''),
);

const deflate = promisify<Buffer, { level: number; dictionary: Buffer }, Buffer>(deflateRaw);
const inflate = promisify<Buffer, { maxOutputLength: number; dictionary: Buffer }, Buffer>(
  inflateRaw,
);

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
export async function encodeBody(text: string, compress = true): Promise<EncodedBody> {
  const data = Buffer.from(text, 'utf8');
  if (!compress || data.length < MIN_BYTES) return { data, headers: {} };
  const headers = { 'content-encoding': CONTENT_ENCODING };
  const options = { level: FAST_LEVEL, dictionary: DICTIONARY };
  if (data.length > MAX_SYNC_BYTES) return { data: await deflate(data, options), headers };
  // eslint-disable-next-line n/no-sync
  return { data: deflateRawSync(data, options), headers };
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
  if (encoding !== CONTENT_ENCODING) return data.toString('utf8');
  const options = { maxOutputLength: maxBytes, dictionary: DICTIONARY };
  if (data.length > MAX_SYNC_ENCODED_BYTES) return (await inflate(data, options)).toString('utf8');
  // eslint-disable-next-line n/no-sync
  return inflateRawSync(data, options).toString('utf8');
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
