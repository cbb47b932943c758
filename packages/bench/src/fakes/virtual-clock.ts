/** Virtual time: actions run in order of their time, and of their scheduling at the same time. */

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class VirtualClock {
  now = 0;

  private readonly heap: Scheduled[] = [];

  private scheduled = 0;

  /** Runs an action after a delay in ms. */
  after(delayMs: number, action: () => void): void {
    const item = { at: this.now + Math.max(0, delayMs), order: this.scheduled, action };
    this.scheduled += 1;
    this.heap.push(item);
    this.siftUp(this.heap.length - 1);
  }

  /** Runs an action at each interval from `firstMs` on. */
  every(intervalMs: number, firstMs: number, action: () => void): void {
    this.after(firstMs, () => {
      action();
      this.every(intervalMs, intervalMs, action);
    });
  }

  /** Runs all actions until a time, in ms. */
  runUntil(endMs: number): void {
    for (let next = this.heap[0]; next && next.at <= endMs; [next] = this.heap) {
      this.pop();
      this.now = next.at;
      next.action();
    }
    this.now = endMs;
  }

  private pop(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    this.heap[0] = last;
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const child = this.isBefore(left + 1, left) ? left + 1 : left;
      if (!this.isBefore(child, at)) return;
      this.swap(child, at);
      at = child;
    }
  }

  private siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.isBefore(at, parent)) return;
      this.swap(at, parent);
      at = parent;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const left = this.heap[a];
    const right = this.heap[b];
    if (!left || !right) return false;
    return left.at < right.at || (left.at === right.at && left.order < right.order);
  }

  private swap(a: number, b: number): void {
    const { [a]: left, [b]: right } = this.heap;
    if (!left || !right) return;
    this.heap[a] = right;
    this.heap[b] = left;
  }
}
