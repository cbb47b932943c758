/** Copy of the platform's list of VMs; its version never decreases. */
import type { VmList, VmRecord } from '../messages/messages.js';

export class VmStore {
  private list: VmList = { version: 0, vms: [] };

  get current(): VmList {
    return this.list;
  }

  /** Stores a list if its version is higher; returns whether it was stored. */
  offer(list: VmList): boolean {
    if (list.version <= this.list.version) return false;
    this.list = list;
    return true;
  }

  /** VMs of a failure domain that have the given role. */
  vmsOf(failureDomain: string, role: VmRecord['role']): VmRecord[] {
    return this.list.vms.filter((vm) => vm.failureDomain === failureDomain && vm.role === role);
  }
}
