/** Limits the memory for the bodies that a process holds or reads at the same time. */
import { readingClock } from './reading-clock.js';

export const BodyMemoryLimits = {
  /** Cost of a body that is being read, besides its blocks: its connection, request and response. */
  OverheadBytes: 8 * 1024,
  /** Bodies up to this size are short ones, which are not rejected in favour of long ones. */
  ShortBytes: 64 * 1024,
  /** Share of the memory that long bodies may take up. */
  LongShare: 7 / 8,
  /** A body that made no progress for this time, in which the process could read it, is rejected first. */
  StallMs: 500,
  /** Fewer bytes are no progress, so that single bytes do not keep a body open. */
  ProgressBytes: 512,
  /** Bodies that are read at the same time, unless a caller says otherwise. */
  MaxOpen: 1024,
} as const;

/** Memory for one body. */
export interface BodyAllocation {
  /** Adds bytes; returns false, and adds none, if the limit would be exceeded. */
  grow(bytes: number): boolean;
  /**
   * Starts to read the body. While it is read, it may be rejected in favour of others.
   *
   * @param reject called when it is; it may not be the body that needs memory at that moment
   * @returns false if the body must be rejected at once
   */
  open(announcedBytes: number, reject: () => void): boolean;
  /** Tells that bytes of the body were received, and what its blocks take up now; returns as `grow`. */
  receive(bytes: number, capacity: number): boolean;
  /** Ends the reading of a complete body, which takes up this many bytes from now on. */
  settle(bytes: number): void;
  /** Returns all bytes. */
  release(): void;
}

export interface BodyMemoryOptions {
  /** Limit of the bodies that are being read. */
  readonly maxOpen?: number;
  /** Clock that counts the time in which bodies can be read, ms; `readingClock` if absent. */
  readonly now?: () => number;
  /** Called for each body that is rejected, with the reason. */
  readonly onReject?: (reason: BodyRejection) => void;
}

/**
 * Why a body was rejected: it stalled, it was the newest long one, or its last progress was the oldest
 * of all when a short one arrived.
 */
export const BodyRejection = { Stalled: 'stalled', Newest: 'newest', Oldest: 'oldest' } as const;
export type BodyRejection = (typeof BodyRejection)[keyof typeof BodyRejection];

interface OpenBody {
  /** Bytes that are charged for the body. */
  own: number;
  received: number;
  /** Bytes that were received at the last progress. */
  progressBytes: number;
  progressAt: number;
  readonly reject: () => void;
}

interface Victim {
  readonly body: OpenBody;
  readonly reason: BodyRejection;
}

export class BodyMemory {
  private held = 0;

  /** Bodies that are being read, oldest first. */
  private readonly open = new Set<OpenBody>();

  /** @param maxBytes limit over all bodies */
  constructor(
    private readonly maxBytes: number,
    private readonly options: BodyMemoryOptions = {},
  ) {}

  /** Bytes of all bodies that are held or announced. */
  get heldBytes(): number {
    return this.held;
  }

  /** Number of bodies that are being read. */
  get openBodies(): number {
    return this.open.size;
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
    let body: OpenBody | undefined;
    let announced = 0;
    const setOwn = (bytes: number): void => {
      this.held += bytes - own;
      own = bytes;
      if (body) body.own = bytes;
    };
    const close = (): void => {
      if (body) this.open.delete(body);
      body = undefined;
    };
    return {
      grow: (bytes) => {
        if (this.held + bytes > this.maxBytes) return false;
        setOwn(own + bytes);
        return true;
      },
      open: (announcedBytes, reject) => {
        announced = announcedBytes;
        const cost = announcedBytes + BodyMemoryLimits.OverheadBytes;
        body = {
          own: 0,
          received: 0,
          progressBytes: 0,
          progressAt: this.now(),
          reject: () => {
            close();
            setOwn(0);
            reject();
          },
        };
        this.open.add(body);
        if (this.makeRoom(body, cost)) {
          setOwn(cost);
          return true;
        }
        close();
        return false;
      },
      receive: (bytes, capacity) => {
        if (!body) return false;
        body.received += bytes;
        if (body.received - body.progressBytes >= BodyMemoryLimits.ProgressBytes) {
          body.progressBytes = body.received;
          body.progressAt = this.now();
        }
        const cost = Math.max(announced, capacity) + BodyMemoryLimits.OverheadBytes;
        if (cost <= own) return true;
        if (!this.makeRoom(body, cost)) return false;
        setOwn(cost);
        return true;
      },
      settle: (bytes) => {
        close();
        setOwn(bytes);
      },
      release: () => {
        close();
        setOwn(0);
      },
    };
  }

  private now(): number {
    return this.options.now?.() ?? readingClock.now();
  }

  /** Rejects other bodies until one may take up so many bytes; returns false if it may not. */
  private makeRoom(body: OpenBody, cost: number): boolean {
    const { maxOpen = BodyMemoryLimits.MaxOpen, onReject } = this.options;
    const isLong = cost > BodyMemoryLimits.ShortBytes + BodyMemoryLimits.OverheadBytes;
    const limit = isLong ? this.maxBytes * BodyMemoryLimits.LongShare : this.maxBytes;
    // What complete bodies take up can't be freed by rejecting others.
    const openBytes = [...this.open].reduce((sum, { own }) => sum + own, 0);
    if (this.held - openBytes + cost > limit) return false;
    while (this.open.size > maxOpen || this.held - body.own + cost > limit) {
      const victim = this.victimFor(body, isLong);
      onReject?.(victim?.reason ?? BodyRejection.Newest);
      if (!victim) return false;
      victim.body.reject();
    }
    return true;
  }

  /**
   * The body that has stalled longest, else the newest long one. For a short body, which usually
   * arrives whole, also the short one whose last progress is the oldest. None if the given body is to
   * be rejected itself.
   */
  private victimFor(body: OpenBody, isLong: boolean): Victim | undefined {
    const others = [...this.open].filter((other) => other !== body);
    const [first] = others;
    if (!first) return undefined;
    const oldest = others.reduce((a, b) => (b.progressAt < a.progressAt ? b : a), first);
    if (this.now() - oldest.progressAt >= BodyMemoryLimits.StallMs) {
      return { body: oldest, reason: BodyRejection.Stalled };
    }
    const longCost = BodyMemoryLimits.ShortBytes + BodyMemoryLimits.OverheadBytes;
    const newest = [...this.open].findLast(
      (other) => other.own > longCost || (isLong && other === body),
    );
    if (newest) {
      return newest === body ? undefined : { body: newest, reason: BodyRejection.Newest };
    }
    return { body: oldest, reason: BodyRejection.Oldest };
  }
}
