/** Streams weights at a rate that all readers share. */
import type { ServerResponse } from 'node:http';

const CHUNK = Buffer.alloc(64 * 1024);

export class WeightStore {
  private freeAt = 0;

  /** @param rateMbit present rate limit, Mbit/s */
  constructor(private readonly rateMbit: () => number) {}

  stream(res: ServerResponse, sizeMb: number): void {
    const bytes = Math.round(sizeMb * 1e6);
    res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes });
    this.send(res, bytes);
  }

  private send(res: ServerResponse, left: number): void {
    if (res.destroyed) return;
    if (left <= 0) {
      res.end();
      return;
    }
    const size = Math.min(left, CHUNK.length);
    const now = performance.now();
    this.freeAt = Math.max(now, this.freeAt) + (size * 8) / (this.rateMbit() * 1000);
    setTimeout(() => {
      res.write(CHUNK.subarray(0, size), () => this.send(res, left - size));
    }, this.freeAt - now);
  }
}
