/** Connections of one part of a process, such as a listener. */

/** Part of a process whose idle connections may be closed for others. */
export interface ConnectionHolder {
  /** Monotonic time in ms at which its longest idle connection became idle; undefined without any. */
  readonly longestIdleSince: number | undefined;
  /** Closes that connection and releases it. */
  closeLongestIdle(): void;
}

/** Decides whether a part may open one more connection. */
export interface RoomMaker {
  /** Closes idle connections until it may; returns false if too few are idle. */
  makeRoom(share: ConnectionShare): boolean;
  /** Called when an accepted connection is closed for want of room. */
  onRefused(): void;
}

/** Connections of one part of a process. */
export class ConnectionShare {
  private count = 0;

  private holder: ConnectionHolder | undefined;

  constructor(
    private readonly budget: RoomMaker,
    readonly name: string,
    readonly reserved: number,
    readonly max: number,
  ) {}

  get open(): number {
    return this.count;
  }

  /** Connections that this part has open or that others leave to it. */
  get taken(): number {
    return Math.max(this.count, this.reserved);
  }

  get longestIdleSince(): number | undefined {
    return this.holder?.longestIdleSince;
  }

  /** Allows others to close idle connections of this part beyond its reserved ones. */
  attach(holder: ConnectionHolder): void {
    this.holder = holder;
  }

  /** Counts a connection that was opened, and closes idle ones for it where necessary and possible. */
  add(): void {
    this.budget.makeRoom(this);
    this.count += 1;
  }

  /** Counts an accepted connection; returns false if there is no room for it, so that it has to be closed. */
  admit(): boolean {
    if (!this.budget.makeRoom(this)) {
      this.budget.onRefused();
      return false;
    }
    this.count += 1;
    return true;
  }

  /** Called when a connection that was added or admitted is closed. */
  release(): void {
    this.count -= 1;
  }

  closeLongestIdle(): void {
    this.holder?.closeLongestIdle();
  }
}
