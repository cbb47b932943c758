/** Copy of the platform's list of VMs, which never goes back to an older version. */
import type { VmList, VmRecord } from '../messages/messages.js';

export class VmStore {
  private list: VmList = { version: 0, vms: [] };

  get current(): VmList {
    return this.list;
  }

  /** Takes a list if its version is higher. */
  offer(list: VmList): boolean {
    if (list.version <= this.list.version) return false;
    this.list = list;
    return true;
  }

  /** VMs of a failure domain with a role. */
  vmsOf(failureDomain: string, role: VmRecord['role']): VmRecord[] {
    return this.list.vms.filter((vm) => vm.failureDomain === failureDomain && vm.role === role);
  }
}
