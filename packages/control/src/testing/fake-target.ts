/** In-process fake of a target for unit tests. */
import { serve, type FakeServer } from './fake-server.js';

/** Target that serves `/load` and accepts orders. */
export class FakeTarget {
  report: Record<string, unknown> = {
    sequence: 1,
    age_ms: 0,
    state: 'live',
    kind: 'plain',
    services: ['crane-booking'],
    concurrency: 16,
  };

  readonly orders: unknown[] = [];

  private server: FakeServer | undefined;

  get address(): string {
    return this.server?.address ?? '';
  }

  async start(): Promise<void> {
    this.server = await serve((req, res, body) => {
      if (req.url === '/orders') {
        this.orders.push(JSON.parse(body));
        res.writeHead(202).end('{"accepted":true}');
      } else res.end(JSON.stringify(this.report));
    });
  }

  close(): void {
    this.server?.close();
  }
}
