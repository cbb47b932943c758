/** JSON-RPC notifications in datagrams. */
import { createJSONRPCNotification } from 'json-rpc-2.0';

export interface Notification {
  readonly method: string;
  readonly params: unknown;
}

/** Encodes a notification into a datagram. */
export function encodeNotification(method: string, params: object): Buffer {
  return Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
}

/**
 * Decodes a datagram.
 *
 * @throws SyntaxError when the bytes are not valid JSON
 */
export function decodeNotification(datagram: Buffer): Notification {
  return JSON.parse(datagram.toString('utf8')) as Notification;
}
