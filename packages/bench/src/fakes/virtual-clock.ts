/**
 * Event queue of a discrete-event simulation. Actions run in order of their time; actions at the same
 * time run in the order in which they were scheduled.
 */

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class VirtualClock {
  now = 0;

  private readonly heap: Scheduled[] = [];

  private scheduled = 0;

  /** Schedules an action after a delay in ms. */
  after(delayMs: number, action: () => void): void {
    const item = { at: this.now + Math.max(0, delayMs), order: this.scheduled, action };
    this.scheduled += 1;
    this.heap.push(item);
    this.siftUp(this.heap.length - 1);
  }

  /** Schedules an action after `firstMs` and then every `intervalMs`. */
  every(intervalMs: number, firstMs: number, action: () => void): void {
    this.after(firstMs, () => {
      action();
      this.every(intervalMs, intervalMs, action);
    });
  }

  /** Advances the clock to `endMs` and runs all actions that are due by then. */
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
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const leftItem = heap[left];
      const rightItem = heap[left + 1];
      const useRight = leftItem && rightItem && isBefore(rightItem, leftItem);
      const child = useRight ? rightItem : leftItem;
      if (!child || !isBefore(child, last)) break;
      heap[index] = child;
      index = useRight ? left + 1 : left;
    }
    heap[index] = last;
  }

  private siftUp(from: number): void {
    const { heap } = this;
    const item = heap[from];
    if (!item) return;
    let index = from;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = heap[parentIndex];
      if (!parent || !isBefore(item, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = item;
  }
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
