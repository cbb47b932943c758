/** Compression of messages between daemons, which shrinks JSON tables to a third or less. */
import { promisify } from 'node:util';
import { deflateRaw, deflateRawSync, inflateRaw, inflateRawSync } from 'node:zlib';

/** Content encoding, including the version of the dictionary, which both sides must share. */
export const CONTENT_ENCODING = 'deflate-raw-1';

/** For smaller messages the `content-encoding` header takes more bytes than compression saves. */
const MIN_BYTES_TO_COMPRESS = 128;
/** Up to this size synchronous compression costs less than a task in the thread pool. */
const MAX_SYNC_BYTES = 32 * 1024;
const MAX_SYNC_ENCODED_BYTES = 8 * 1024;
const FAST_LEVEL = 3;

/** Keys and structures that every message repeats. Most gossip is shorter than a deflate window. */
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

/** A message body as sent over the network. */
export interface EncodedBody {
  readonly data: Buffer;
  /** The `content-encoding` header; empty when the body is not compressed. */
  readonly headers: Readonly<Record<string, string>>;
}

/**
 * Compresses a message unless it is too short to gain from it.
 *
 * @example (await encodeBody('{}')).headers // {}
 */
export async function encodeBody(text: string, compress = true): Promise<EncodedBody> {
  const data = Buffer.from(text, 'utf8');
  if (!compress || data.length < MIN_BYTES_TO_COMPRESS) return { data, headers: {} };
  const headers = { 'content-encoding': CONTENT_ENCODING };
  const options = { level: FAST_LEVEL, dictionary: DICTIONARY };
  if (data.length > MAX_SYNC_BYTES) return { data: await deflate(data, options), headers };
  // eslint-disable-next-line n/no-sync
  return { data: deflateRawSync(data, options), headers };
}

/**
 * Decodes a body encoded by `encodeBody`.
 *
 * @throws RangeError when the decoded text exceeds `maxBytes`, or a zlib error when it is corrupt
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
 * Size of HTTP headers on the network in bytes.
 *
 * @example headerBytes(['content-length', '2']) // 19
 */
export function headerBytes(rawHeaders: readonly string[]): number {
  const SEPARATOR_BYTES = 2;
  return rawHeaders.reduce((sum, part) => sum + part.length + SEPARATOR_BYTES, 0);
}
