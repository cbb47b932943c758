/** Allocates free loopback ports. */
import { randomInt } from 'node:crypto';
import net from 'node:net';
import { LOOPBACK } from '../common/http-server.js';

/** The range is below the usual ephemeral ports, which outgoing connections use at random. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

export class PortAllocator {
  private next = randomInt(FIRST_PORT, LAST_PORT);

  /** Returns a port that no process listens on and that was not allocated before. */
  async allocate(): Promise<number> {
    this.next = this.next >= LAST_PORT ? FIRST_PORT : this.next + 1;
    const port = this.next;
    return (await isFree(port)) ? port : this.allocate();
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}
