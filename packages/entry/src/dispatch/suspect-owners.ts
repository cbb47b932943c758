/**
 * Divides the targets of a failure domain among its entries for suspects. Two entries that ran a suspect
 * each on one target would blame both for a death that one of them caused.
 */
import type { EntryState } from '../state/entry-state.js';

export class SuspectOwners {
  constructor(private readonly state: Pick<EntryState, 'self' | 'view'>) {}

  /**
   * Names of the targets of a service on which this entry may run suspects; targets that are down count
   * as well, so that the division does not change while targets die.
   *
   * @example owners.targetsOf('chat') // new Set(['vm-1', 'vm-3'])
   */
  targetsOf(service: string): ReadonlySet<string> {
    const { self, view } = this.state;
    const others = view.processes
      .map(({ process }) => process)
      .filter(({ role, bootId }) => role === 'entry' && bootId !== self.bootId);
    const entries = [self, ...others].map(({ bootId }) => bootId).sort();
    const own = entries.indexOf(self.bootId);
    const targets = view.targets
      .filter(({ services }) => services.includes(service))
      .map(({ vm }) => vm)
      .sort();
    return new Set(targets.filter((_, index) => index % entries.length === own));
  }
}
