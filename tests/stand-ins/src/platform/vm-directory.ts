/** List of VMs that shows each change after a lag. */
import { EventEmitter } from 'node:events';
import type { VmRecord } from '@marjoramcart/core';

export class VmDirectory {
  private truth: VmRecord[] = [];

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

  /** Applies a change that readers see after `lagMs`. */
  change(update: (vms: VmRecord[]) => VmRecord[], lagMs: number): void {
    this.truth = update(this.truth);
    if (lagMs <= 0) this.show();
    else setTimeout(() => this.show(), lagMs);
  }

  /** While stale, readers see no change. */
  setStale(stale: boolean): void {
    this.stale = stale;
    this.show();
  }

  onChange(fn: () => void): () => void {
    this.changes.on('change', fn);
    return () => this.changes.off('change', fn);
  }

  private show(): void {
    if (this.stale) return;
    this.visible = this.truth;
    this.visibleVersion += 1;
    this.changes.emit('change');
  }
}
