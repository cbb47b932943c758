/** Readiness of services that depend on other services. */
import type { ServiceConfig } from '../config/config-schema.js';
import type { TargetState } from '../messages/messages.js';

type Services = Readonly<Record<string, Pick<ServiceConfig, 'depends_on'>>>;

/**
 * Services of a failure domain that have a usable target and whose dependencies are all ready too.
 *
 * @example readyServices(states, view.services).has('crew-advice')
 */
export function readyServices(states: readonly TargetState[], services: Services): Set<string> {
  const usable = states.filter(({ healthy, leaving }) => healthy && !leaving);
  const ready = new Set(usable.flatMap((state) => state.services));
  const removeUnmet = (): boolean => {
    const unmet = [...ready].filter((name) =>
      (services[name]?.depends_on ?? []).some((dependency) => !ready.has(dependency)),
    );
    unmet.forEach((name) => ready.delete(name));
    return unmet.length > 0;
  };
  while (removeUnmet());
  return ready;
}

/** Removes services with unready dependencies from the states of the targets. */
export function withReadyServices(
  states: readonly TargetState[],
  services: Services,
): TargetState[] {
  const ready = readyServices(states, services);
  return states.map((state) => ({
    ...state,
    services: state.services.filter((name) => ready.has(name)),
  }));
}
