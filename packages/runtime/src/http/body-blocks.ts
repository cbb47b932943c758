/** Collects the pieces of a body in blocks, so that tiny pieces cost no more than their bytes. */

export const BodyBlockLimits = {
  FirstBytes: 1024,
  MaxBytes: 64 * 1024,
} as const;

/**
 * Chain of blocks that double in size up to a limit. Its capacity is at most twice the size of the
 * body, or 64 KiB more, whatever the size of the pieces is.
 */
export class BodyBlocks {
  private readonly blocks: Buffer[] = [];

  /** Bytes in use of the last block. */
  private used = 0;

  private total = 0;

  private allocated = 0;

  /** @param announcedBytes size of the body if it was announced; no more is allocated in advance */
  constructor(private readonly announcedBytes = Infinity) {}

  /** Bytes of the body so far. */
  get size(): number {
    return this.total;
  }

  /** Bytes of memory that are in use for the body. */
  get capacity(): number {
    return this.allocated;
  }

  /**
   * Copies a piece.
   *
   * @example blocks.add(Buffer.from('x'))
   */
  add(piece: Buffer): void {
    let offset = 0;
    while (offset < piece.length) {
      const last = this.lastBlock(piece.length - offset);
      const copied = piece.copy(last, this.used, offset);
      this.used += copied;
      this.total += copied;
      offset += copied;
    }
  }

  /** Returns the body and frees the blocks. */
  take(): Buffer {
    const { blocks, used, total } = this;
    const [only] = blocks;
    const body =
      blocks.length === 1 && only ? only.subarray(0, used) : Buffer.concat(blocks, total);
    this.clear();
    return body;
  }

  /** Frees the blocks. */
  clear(): void {
    this.blocks.length = 0;
    this.used = 0;
    this.total = 0;
    this.allocated = 0;
  }

  /** Block with free space, a new one if the last one is full. */
  private lastBlock(neededBytes: number): Buffer {
    const last = this.blocks.at(-1);
    if (last && this.used < last.length) return last;
    const grown = Math.max(BodyBlockLimits.FirstBytes, this.allocated, neededBytes);
    const left = this.announcedBytes - this.allocated;
    const bytes = Math.min(grown, BodyBlockLimits.MaxBytes, left > 0 ? left : Infinity);
    // Not from the shared pool of Node.js, of which a small block would keep 8 KiB.
    const block = Buffer.allocUnsafeSlow(bytes);
    this.blocks.push(block);
    this.allocated += bytes;
    this.used = 0;
    return block;
  }
}
