/**
 * Tells how long connections may have waited to be accepted. Node.js accepts one connection of a listener in
 * each iteration of its event loop, so that further ones wait in the backlog of the operating system, where
 * the process does not see them.
 */
export class AcceptBacklog {
  /** Since when each poll has accepted a connection, monotonic ms; undefined if the latest one did not. */
  private since: number | undefined;

  private accepted = false;

  private watching = false;

  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Longest time for which a connection that is accepted now may have waited behind others, ms. */
  get waitMs(): number {
    return this.since === undefined ? 0 : this.now() - this.since;
  }

  /**
   * Counts an accepted connection.
   *
   * @returns longest time for which it may have waited behind others, ms
   */
  onAccept(): number {
    this.accepted = true;
    if (!this.watching) {
      this.watching = true;
      // Immediates run after the poll in which the connection was accepted.
      setImmediate(() => this.watch());
    }
    this.since ??= this.now();
    return this.waitMs;
  }

  /** Forgets the wait when no connection is left. */
  onEmptied(): void {
    this.since = undefined;
  }

  /** Waits for the next poll; one that accepts nothing leaves no connection behind. */
  private watch(): void {
    if (!this.accepted) {
      this.watching = false;
      this.since = undefined;
      return;
    }
    this.accepted = false;
    setImmediate(() => this.watch());
  }
}
