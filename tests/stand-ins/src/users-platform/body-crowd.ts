/** Crowds of clients that send a request body except for its end, and leave their connections open. */
import { once } from 'node:events';
import net from 'node:net';
import { HOST } from './example-config.js';

/** What each client of a crowd sends. */
export interface BodyShape {
  readonly path: string;
  /** Size of the body that is sent, without its missing end, bytes. */
  readonly bytes: number;
  /** Size of each chunk of a chunked body; absent for a body with a declared length. */
  readonly chunkBytes?: number;
  /** Size of each write; absent if all is written at once. */
  readonly pieceBytes?: number;
}

/** Bytes of a body with a declared length that are never sent. */
const MISSING_BYTES = 8;
const PIECE_INTERVAL_MS = 1;

function renderRequest({ path, bytes, chunkBytes }: BodyShape, id: string): Buffer {
  const framing =
    chunkBytes === undefined
      ? `Content-Length: ${bytes + MISSING_BYTES}`
      : 'Transfer-Encoding: chunked';
  const head = `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\nDeadline-Ms: 20000\r\n${framing}\r\n\r\n`;
  if (chunkBytes === undefined) return Buffer.from(head + 'x'.repeat(bytes));
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(head + chunk.repeat(Math.floor(bytes / chunkBytes)));
}

async function sendPieces(socket: net.Socket, data: Buffer, pieceBytes: number): Promise<void> {
  if (data.length === 0 || socket.destroyed) return;
  if (!socket.write(data.subarray(0, pieceBytes))) {
    await Promise.race([once(socket, 'drain'), once(socket, 'close')]);
  }
  await new Promise((resolve) => {
    setTimeout(resolve, PIECE_INTERVAL_MS);
  });
  await sendPieces(socket, data.subarray(pieceBytes), pieceBytes);
}

export class BodyCrowd {
  private readonly sockets: net.Socket[] = [];

  /** @param address `ip:port` of the gateway */
  constructor(private readonly address: string) {}

  /** Connects clients that send the start of a request, and returns when each has or was disconnected. */
  async sendStart(clients: number, start: string): Promise<void> {
    const data = Buffer.from(start);
    await Promise.all(Array.from({ length: clients }, () => this.sendData(data, data.length)));
  }

  /** Connects the clients, and returns when each has sent its part or was disconnected. */
  async send(clients: number, shape: BodyShape): Promise<void> {
    await Promise.all(Array.from({ length: clients }, (_, n) => this.sendOne(shape, `crowd-${n}`)));
  }

  /** Sends a whole request and returns what is received until the connection ends. */
  async exchange(text: string): Promise<string> {
    const socket = this.connect();
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.write(text);
    await new Promise((resolve) => {
      socket.on('end', resolve);
      socket.on('close', resolve);
    });
    return Buffer.concat(chunks).toString('latin1');
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async sendOne(shape: BodyShape, id: string): Promise<void> {
    const data = renderRequest(shape, id);
    await this.sendData(data, shape.pieceBytes ?? data.length);
  }

  private async sendData(data: Buffer, pieceBytes: number): Promise<void> {
    const socket = this.connect();
    socket.resume();
    const closed = new Promise<void>((resolve) => {
      socket.on('close', () => resolve());
    });
    await Promise.race([closed, sendPieces(socket, data, pieceBytes)]);
  }

  private connect(): net.Socket {
    const [host, port] = this.address.split(':');
    const socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
    socket.on('error', () => undefined);
    this.sockets.push(socket);
    return socket;
  }
}
