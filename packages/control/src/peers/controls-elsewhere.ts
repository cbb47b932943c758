/** Control daemons of other failure domains, from the list of VMs. */
import type { VmRecord } from '@marjoramcart/core';
import type { ControlState } from '../control-state.js';

/** The entry VMs of each other failure domain; each runs a control daemon. */
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
