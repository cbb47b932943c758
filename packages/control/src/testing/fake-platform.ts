/** Small in-process stand-in for the platform, for unit tests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { VmRecord } from '@marjoramcart/core';
import { serve, type FakeServer } from './fake-server.js';

/** Configuration service and list of VMs. */
export class FakePlatform {
  revision = 0;

  values = new Map<string, { revision: number; value: string | null }>();

  vmList: { version: number; vms: VmRecord[] } = { version: 1, vms: [] };

  /** Pending watches of the configuration. */
  pendingWatches = 0;

  private server: FakeServer | undefined;

  private heldResponses: (() => void)[] = [];

  get url(): string {
    return `http://${this.server?.address}`;
  }

  async start(): Promise<void> {
    this.server = await serve((req, res) => this.handle(req, res));
  }

  close(): void {
    this.server?.close();
  }

  write(key: string, value: string): void {
    this.revision += 1;
    this.values.set(key, { revision: this.revision, value });
    this.resumeWatches();
  }

  setVms(vms: VmRecord[]): void {
    this.vmList = { version: this.vmList.version + 1, vms };
    this.resumeWatches();
  }

  /** Answers with another revision from now on, as a service restored from a copy does. */
  restoreRevision(revision: number): void {
    this.revision = revision;
    this.resumeWatches();
  }

  private resumeWatches(): void {
    this.heldResponses.splice(0).forEach((fn) => fn());
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://x');
    const after = Number(url.searchParams.get('after') ?? 0);
    const send = (body: unknown): void => {
      res.end(JSON.stringify(body));
    };
    const routes: Record<string, () => void> = {
      '/v1/range': () =>
        send({
          revision: this.revision,
          values: [...this.values]
            .filter(([, { revision }]) => revision > after)
            .map(([key, rest]) => ({ key, ...rest })),
        }),
      '/v1/vms': () => send(this.vmList),
      '/v1/watch': () => {
        this.pendingWatches += 1;
        res.on('close', () => {
          this.pendingWatches -= 1;
        });
        this.hold(
          after,
          () => this.revision,
          (revision) => send({ revision }),
        );
      },
      '/v1/vms/watch': () =>
        this.hold(
          after,
          () => this.vmList.version,
          (version) => send({ version }),
        ),
    };
    const route = routes[url.pathname];
    if (route) route();
    else res.writeHead(404).end();
  }

  private hold(after: number, read: () => number, send: (value: number) => void): void {
    if (read() === after) this.heldResponses.push(() => this.hold(after, read, send));
    else send(read());
  }
}
