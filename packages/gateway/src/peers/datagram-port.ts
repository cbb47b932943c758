/** Sends and receives the datagrams of gossip. */
import dgram from 'node:dgram';
import { once } from 'node:events';
import { bindWithRetry, type Logger } from '@marjoramcart/runtime';

export interface DatagramPort {
  /**
   * Starts to receive, and waits for a while if the address is not available.
   *
   * @param onDatagram gets each datagram and the IP address of its sender
   * @throws Error when the address can't be bound
   */
  open(onDatagram: (datagram: Buffer, ip: string) => void): Promise<void>;
  /** Sends a datagram; it may be lost without an error, and is before the end of `open` and after `close`. */
  send(datagram: Buffer, ip: string): void;
  close(): Promise<void>;
}

/** Port of the UDP protocol; it has the same number on all VMs. */
export class UdpPort implements DatagramPort {
  private readonly socket = dgram.createSocket('udp4');

  private bound = false;

  private closed = false;

  /** @example new UdpPort('10.0.0.7', 7380, (err) => log.warn('socket error', { err }), log) */
  constructor(
    private readonly ip: string,
    private readonly port: number,
    private readonly onError: (err: Error) => void,
    private readonly log?: Logger,
  ) {}

  async open(onDatagram: (datagram: Buffer, ip: string) => void): Promise<void> {
    this.socket.on('message', (datagram, { address }) => onDatagram(datagram, address));
    await bindWithRetry(
      `${this.ip}:${this.port}`,
      () => this.bind(),
      this.log,
      () => !this.closed,
    );
    if (this.closed) return;
    this.bound = true;
    this.socket.on('error', this.onError);
  }

  send(datagram: Buffer, ip: string): void {
    // Node.js binds a socket that sends to any free port. Work that goes on while the process ends may still have news.
    if (!this.bound || this.closed) return;
    this.socket.send(datagram, this.port, ip, (err) => {
      if (err) this.onError(err);
    });
  }

  private async bind(): Promise<void> {
    const listening = once(this.socket, 'listening');
    this.socket.bind(this.port, this.ip);
    await listening;
  }

  close(): Promise<void> {
    this.closed = true;
    return new Promise((resolve) => {
      this.socket.close(() => resolve());
    });
  }
}
