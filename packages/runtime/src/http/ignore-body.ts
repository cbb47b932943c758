/** Leaves the body of a request unread on which its response does not depend. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { dropBody } from './hold-reading.js';
import { closeAfter } from './pipeline.js';

/**
 * Leaves a body unread, and closes the connection after the response if the request announces one. A body in
 * tiny chunks that is read and discarded takes up the processor, however short the response is.
 *
 * @example ignoreBody(req, res); res.writeHead(200).end();
 */
export function ignoreBody(req: IncomingMessage, res: ServerResponse): void {
  if (!announcesBody(req)) return;
  dropBody(req);
  closeAfter(res);
}

function announcesBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
