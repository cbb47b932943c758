/** Finds the control daemons of other failure domains in the list of VMs. */
import type { VmRecord } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

/** Entry VMs by failure domain, without the local one; each entry VM runs a control daemon. */
export function controlsInOtherDomains({ vms, self }: ControlState): Map<string, VmRecord[]> {
  const controls = vms.current.vms.filter(
    ({ role, failureDomain }) => role === 'entry' && failureDomain !== self.failureDomain,
  );
  const domains = new Set(controls.map(({ failureDomain }) => failureDomain));
  return new Map(
    [...domains].map((domain) => [
      domain,
      controls.filter(({ failureDomain }) => failureDomain === domain),
    ]),
  );
}
