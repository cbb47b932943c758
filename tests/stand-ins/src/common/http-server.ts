/** Small HTTP helpers that all stand-ins share. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

export const LOOPBACK = '127.0.0.1';

/** A request with its parsed URL. */
export interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly url: URL;
  /** `METHOD /first/second`, for matching. */
  readonly route: string;
}

export type RequestHandler = (call: RequestContext) => Promise<void> | void;

/** Serves HTTP on a loopback port and resolves when it listens. */
export function serve(port: number, handler: RequestHandler): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url ?? '/', `http://${LOOPBACK}`);
    const call = { req, res, url, route: `${req.method} ${url.pathname}` };
    Promise.resolve()
      .then(() => handler(call))
      .catch((err: unknown) => {
        process.stderr.write(`request ${call.route} failed: ${String(err)}\n`);
        if (res.headersSent) res.destroy();
        else sendJson(res, 400, { error: String(err) });
      });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

/** Reads a whole body as text; rejects when it is over `maxBytes`. */
export async function readText(req: IncomingMessage, maxBytes = 8 * 1024 * 1024): Promise<string> {
  return (await readBytes(req, maxBytes)).toString('utf8');
}

/** Reads a whole body; rejects when it is over `maxBytes` or the connection breaks. */
export function readBytes(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) reject(new Error(`the body is over ${maxBytes} bytes`));
      else chunks.push(chunk);
    });
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('error', reject);
  });
}

/** Parses a body as JSON; an empty body is an empty object. */
export async function readJson<Value>(req: IncomingMessage): Promise<Value> {
  const text = await readText(req);
  return JSON.parse(text === '' ? '{}' : text) as Value;
}

export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
}

/**
 * Serves the test port of a stand-in: `GET /readyz`, `POST /settings` with new values of settings,
 * and further routes.
 */
export function serveTestPort<Settings extends object>(
  port: number,
  settings: Settings,
  other: RequestHandler = ({ res }) => sendJson(res, 404, {}),
): Promise<http.Server> {
  return serve(port, async (call) => {
    if (call.route === 'GET /readyz') sendJson(call.res, 200, { ready: true });
    else if (call.route === 'POST /settings') {
      Object.assign(settings, await readJson<Partial<Settings>>(call.req));
      sendJson(call.res, 200, settings);
    } else await other(call);
  });
}
