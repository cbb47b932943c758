/** List of VMs in which each change becomes visible after a delay. */
import { EventEmitter } from 'node:events';
import type { VmRecord } from '@marjoramcart/core';

export class VmListStore {
  private actual: VmRecord[] = [];

  private visible: VmRecord[] = [];

  private visibleVersion = 0;

  private stale = false;

  private readonly changes = new EventEmitter().setMaxListeners(0);

  get version(): number {
    return this.visibleVersion;
  }

  get vms(): readonly VmRecord[] {
    return this.visible;
  }

  /** Changes the list; clients see the change after `lagMs`. */
  change(update: (vms: VmRecord[]) => VmRecord[], lagMs: number): void {
    this.actual = update(this.actual);
    if (lagMs <= 0) this.publish();
    else setTimeout(() => this.publish(), lagMs);
  }

  /** Makes the list stale or current; clients of a stale list see no changes. */
  setStale(stale: boolean): void {
    this.stale = stale;
    this.publish();
  }

  onChange(fn: () => void): () => void {
    this.changes.on('change', fn);
    return () => this.changes.off('change', fn);
  }

  private publish(): void {
    if (this.stale) return;
    this.visible = this.actual;
    this.visibleVersion += 1;
    this.changes.emit('change');
  }
}
