/** Pool of connections for HTTP requests. */
import http, { type ClientRequestArgs } from 'node:http';
import type { Duplex } from 'node:stream';

/**
 * Agent whose connections always have a listener for errors. When a target answers and resets a connection
 * to which a request is still being written, Node.js takes the request for finished, removes its listener
 * and emits the error then, which would end the process.
 *
 * @example new PooledAgent({ maxSockets: 8 })
 */
export class PooledAgent extends http.Agent {
  /** @param onConnection called with each connection that is opened */
  constructor(
    options: http.AgentOptions = {},
    private readonly onConnection: (socket: Duplex) => void = () => undefined,
  ) {
    super({ keepAlive: true, ...options });
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: (err: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const socket = super.createConnection(options, callback)?.on('error', () => undefined);
    if (socket) this.onConnection(socket);
    return socket;
  }
}
