/** Limits the memory for the request bodies that a process holds at the same time. */

/** Memory for one body. */
export interface BodyAllocation {
  /** Adds bytes; returns false, and adds none, if the limit would be exceeded. */
  grow(bytes: number): boolean;
  /** Returns all bytes. */
  release(): void;
}

export class BodyMemory {
  private held = 0;

  /** @param maxBytes limit over all bodies */
  constructor(private readonly maxBytes: number) {}

  /** Bytes of all bodies that are held or announced. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Starts an allocation, without bytes at first.
   *
   * @example
   * const allocation = memory.allocate();
   * if (!allocation.grow(contentLength)) refuse();
   */
  allocate(): BodyAllocation {
    let own = 0;
    return {
      grow: (bytes) => {
        if (this.held + bytes > this.maxBytes) return false;
        this.held += bytes;
        own += bytes;
        return true;
      },
      release: () => {
        this.held -= own;
        own = 0;
      },
    };
  }
}
