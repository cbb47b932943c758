/** Streams model weights; one rate limit applies to all downloads together. */
import type { ServerResponse } from 'node:http';

const CHUNK = Buffer.alloc(64 * 1024);

export class WeightStore {
  private rateFreeAt = 0;

  /** @param rateMbitPerS returns the current rate limit, Mbit/s */
  constructor(private readonly rateMbitPerS: () => number) {}

  stream(res: ServerResponse, sizeMb: number): void {
    const bytes = Math.round(sizeMb * 1e6);
    res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes });
    this.send(res, bytes);
  }

  private send(res: ServerResponse, bytesLeft: number): void {
    if (res.destroyed) return;
    if (bytesLeft <= 0) {
      res.end();
      return;
    }
    const size = Math.min(bytesLeft, CHUNK.length);
    const now = performance.now();
    this.rateFreeAt = Math.max(now, this.rateFreeAt) + (size * 8) / (this.rateMbitPerS() * 1000);
    setTimeout(() => {
      res.write(CHUNK.subarray(0, size), () => this.send(res, bytesLeft - size));
    }, this.rateFreeAt - now);
  }
}
