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
  /** As `makeRoom`, for a call that came on a connection of another part and opens one of this part. */
  makeRoomForCall(share: ConnectionShare): boolean;
  /** Called when an accepted connection is closed for want of room. */
  onRefused(): void;
}

/** Connections of one part of a process. */
export class ConnectionShare {
  private count = 0;

  /** Calls that have a connection of this part or will open one. */
  private calls = 0;

  private holder: ConnectionHolder | undefined;

  constructor(
    private readonly budget: RoomMaker,
    readonly name: string,
    readonly reserved: number,
    readonly max: number,
    /** Whether the requests on its connections open connections of another part. */
    readonly opensOthers: boolean,
  ) {}

  get open(): number {
    return this.count;
  }

  /** Connections that this part has open or that its calls will open. */
  get used(): number {
    return Math.max(this.count, this.calls);
  }

  /** Connections that this part uses or that others leave to it. */
  get taken(): number {
    return Math.max(this.used, this.reserved);
  }

  /** Connections that this part would use with one more call; it may reuse an open one. */
  get usedByNextCall(): number {
    return Math.max(this.count, this.calls + 1);
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
    if (this.count >= this.calls) this.budget.makeRoom(this);
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

  /**
   * Starts a call that needs a connection of this part, until `endCall`.
   *
   * @returns false if there is no room for the connection, so that the call has to be refused
   * @example if (!outgoing.startCall()) refuse();
   */
  startCall(): boolean {
    if (!this.budget.makeRoomForCall(this)) return false;
    this.calls += 1;
    return true;
  }

  /** Ends a call that was started. */
  endCall(): void {
    this.calls -= 1;
  }

  /** Called when a connection that was added or admitted is closed. */
  release(): void {
    this.count -= 1;
  }

  closeLongestIdle(): void {
    this.holder?.closeLongestIdle();
  }
}
