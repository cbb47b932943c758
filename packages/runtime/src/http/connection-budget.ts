/** Limit of the open connections of a process, which its listeners and its clients share. */
import { ConnectionShare, type RoomMaker } from './connection-share.js';
import { RejectionCount } from './rejection-count.js';

export interface ShareOptions {
  /** Name in logs and metrics. */
  readonly name: string;
  /** Connections that others leave to this part. */
  readonly reserved?: number;
  /** Upper bound of this part; the limit of the process if absent. */
  readonly max?: number;
  /** Whether the requests on its connections open connections of another part. */
  readonly opensOthers?: boolean;
}

/**
 * Divides the connections of a process. Each part has some that are reserved for it; the others go to whoever
 * needs them. Without a free one, the connection that has been idle longest is closed, among those of the
 * part itself and of parts that have more than is reserved for them.
 *
 * @example
 * const budget = new ConnectionBudget(1000, (count) => log.warn('connections closed', { count }));
 * const connections = budget.share({ name: 'callers', reserved: 500 });
 */
export class ConnectionBudget implements RoomMaker {
  private readonly shares: ConnectionShare[] = [];

  private readonly rejections: RejectionCount;

  /**
   * @param limit open connections of the process
   * @param onRejected called at most once a second with the number of connections that were closed
   */
  constructor(
    readonly limit: number,
    onRejected: (count: number) => void = () => undefined,
  ) {
    this.rejections = new RejectionCount(onRejected);
  }

  /** Number of open connections by the name of the part. */
  get open(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.shares.map(({ name, open }) => [name, open]));
  }

  /** Adds a part of the process. */
  share({
    name,
    reserved = 0,
    max = this.limit,
    opensOthers = false,
  }: ShareOptions): ConnectionShare {
    const share = new ConnectionShare(this, name, Math.min(reserved, max), max, opensOthers);
    this.shares.push(share);
    return share;
  }

  onRefused(): void {
    this.rejections.add();
  }

  /** Closes idle connections until a part may open one more; returns false if too few are idle. */
  makeRoom(share: ConnectionShare): boolean {
    return this.closeIdleUntil(share, () => this.hasRoom(share));
  }

  makeRoomForCall(share: ConnectionShare): boolean {
    return this.closeIdleUntil(share, () => this.hasRoomForCall(share));
  }

  private closeIdleUntil(share: ConnectionShare, hasRoom: () => boolean): boolean {
    while (!hasRoom()) {
      const [victim] = this.candidates(share)
        .filter(({ longestIdleSince }) => longestIdleSince !== undefined)
        .toSorted((a, b) => Number(a.longestIdleSince) - Number(b.longestIdleSince));
      if (!victim) return false;
      this.rejections.add();
      victim.closeLongestIdle();
    }
    return true;
  }

  private hasRoom(share: ConnectionShare): boolean {
    if (share.open >= share.max) return false;
    if (share.used < share.reserved) return true;
    return this.shares.reduce((sum, { taken }) => sum + taken, 0) < this.limit;
  }

  /** What is reserved for parts whose requests open connections is of no use to them without those. */
  private hasRoomForCall(share: ConnectionShare): boolean {
    if (share.usedByNextCall <= share.reserved) return true;
    const others = this.shares
      .filter((other) => other !== share)
      .reduce((sum, { open, taken, opensOthers }) => sum + (opensOthers ? open : taken), 0);
    return others + share.usedByNextCall <= this.limit;
  }

  private candidates(share: ConnectionShare): ConnectionShare[] {
    if (share.open >= share.max) return [share];
    return this.shares.filter((other) => other === share || other.open > other.reserved);
  }
}
