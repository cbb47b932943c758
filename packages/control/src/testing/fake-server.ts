/** HTTP server on loopback for fakes in unit tests. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A server on a free loopback port. */
export interface FakeServer {
  readonly address: string;
  close(): void;
}

/** Starts a server that calls the handler with the whole request body. */
export async function serve(
  handler: (req: IncomingMessage, res: ServerResponse, body: string) => void,
): Promise<FakeServer> {
  const server = http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => handler(req, res, Buffer.concat(chunks).toString('utf8')));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
