/** HTTP server and body helpers that all stand-ins share. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

export const LOOPBACK = '127.0.0.1';

/** A request with its parsed URL. */
export interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly url: URL;
  /** Method and path, such as `GET /readyz`. */
  readonly route: string;
}

export type RequestHandler = (ctx: RequestContext) => Promise<void> | void;

/** Starts an HTTP server on a loopback port; resolves once it listens. */
export function serve(port: number, handler: RequestHandler): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url ?? '/', `http://${LOOPBACK}`);
    const ctx = { req, res, url, route: `${req.method} ${url.pathname}` };
    Promise.resolve()
      .then(() => handler(ctx))
      .catch((err: unknown) => {
        process.stderr.write(`request ${ctx.route} failed: ${String(err)}\n`);
        if (res.headersSent) res.destroy();
        else sendJson(res, 400, { error: String(err) });
      });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

/** Reads a request body as UTF-8 text; rejects when it is larger than `maxBytes`. */
export async function readText(req: IncomingMessage, maxBytes = 8 * 1024 * 1024): Promise<string> {
  return (await readBytes(req, maxBytes)).toString('utf8');
}

/** Reads a request body; rejects when it is larger than `maxBytes` or the connection fails. */
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

/** Parses a request body as JSON; an empty body yields an empty object. */
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
 * Serves the test port of a stand-in: `GET /readyz`, `POST /settings`, which changes the given
 * settings at run time, and the routes of `other`.
 */
export function serveTestPort<Settings extends object>(
  port: number,
  settings: Settings,
  otherRoutes: RequestHandler = ({ res }) => sendJson(res, 404, {}),
): Promise<http.Server> {
  return serve(port, async (ctx) => {
    if (ctx.route === 'GET /readyz') sendJson(ctx.res, 200, { ready: true });
    else if (ctx.route === 'POST /settings') {
      Object.assign(settings, await readJson<Partial<Settings>>(ctx.req));
      sendJson(ctx.res, 200, settings);
    } else await otherRoutes(ctx);
  });
}
