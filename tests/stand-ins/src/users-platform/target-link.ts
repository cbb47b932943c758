/** Link of one gateway to one target, which passes bytes on until it is cut. */
import net, { type Socket } from 'node:net';
import { resetConnection } from '@marjoramcart/runtime';

/** How a link is cut. */
export const LinkCut = {
  /** Connections are reset, and new ones refused. */
  Reset: 'reset',
  /** Connections carry nothing any more, and new ones are refused. */
  Silent: 'silent',
  /** Connections go on, and new ones are refused. */
  RefuseNew: 'refuse-new',
} as const;
export type LinkCut = (typeof LinkCut)[keyof typeof LinkCut];

export class TargetLink {
  private readonly sockets = new Set<Socket>();

  private server: net.Server | undefined;

  /** Both are `ip:port`. */
  constructor(
    readonly address: string,
    readonly target: string,
  ) {}

  /** Accepts connections, also after a cut. */
  async listen(): Promise<void> {
    if (this.server) return;
    const server = net.createServer((client) => this.connect(client));
    this.server = server;
    const [host, port] = this.address.split(':');
    await new Promise<void>((resolve) => {
      server.listen(Number(port), host, resolve);
    });
  }

  cut(cut: LinkCut): void {
    this.server?.close();
    this.server = undefined;
    this.sockets.forEach((socket) => {
      if (cut === LinkCut.Reset) resetConnection(socket);
      if (cut === LinkCut.Silent) socket.unpipe().pause();
    });
  }

  close(): void {
    this.server?.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private connect(client: Socket): void {
    const [host, port] = this.target.split(':');
    const target = net.connect({ host, port: Number(port) });
    const pair = [client, target];
    pair.forEach((socket, n) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        pair[1 - n]?.destroy();
      });
    });
    client.pipe(target);
    target.pipe(client);
  }
}
