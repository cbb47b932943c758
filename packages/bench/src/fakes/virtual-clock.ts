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
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const leftItem = heap[left];
      const rightItem = heap[left + 1];
      const useRight = leftItem && rightItem && isBefore(rightItem, leftItem);
      const child = useRight ? rightItem : leftItem;
      if (!child || !isBefore(child, last)) break;
      heap[at] = child;
      at = useRight ? left + 1 : left;
    }
    heap[at] = last;
  }

  private siftUp(from: number): void {
    const { heap } = this;
    const item = heap[from];
    if (!item) return;
    let at = from;
    while (at > 0) {
      const parentAt = Math.floor((at - 1) / 2);
      const parent = heap[parentAt];
      if (!parent || !isBefore(item, parent)) break;
      heap[at] = parent;
      at = parentAt;
    }
    heap[at] = item;
  }
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
