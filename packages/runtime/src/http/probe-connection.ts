/** Finds out whether a process listens at an address. */
import net from 'node:net';

/** `no-answer`: neither accepted nor refused in time, as in a network partition, or not a valid address. */
export type ConnectionProbe = 'accepted' | 'refused' | 'no-answer';

/**
 * Opens a connection and closes it without sending anything. Never rejects.
 *
 * @param address `ip:port`
 * @param timeoutMs longest wait, ms
 * @example await probeConnection('10.0.0.1:8080', 500) // 'refused'
 */
export function probeConnection(address: string, timeoutMs: number): Promise<ConnectionProbe> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = new net.Socket();
    const finish = (result: ConnectionProbe): void => {
      socket.destroy();
      resolve(result);
    };
    socket.on('connect', () => finish('accepted'));
    socket.on('timeout', () => finish('no-answer'));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED' ? 'refused' : 'no-answer'),
    );
    try {
      socket.connect({ host, port: Number(port) });
      socket.setTimeout(timeoutMs);
    } catch {
      // Node.js throws at once for a port that is out of range.
      finish('no-answer');
    }
  });
}
