/** Readiness of services whose dependencies are services too. */
import type { ServiceConfig } from '../config/text-schema.js';
import type { TargetState } from '../messages/messages.js';

type Services = Readonly<Record<string, Pick<ServiceConfig, 'depends_on'>>>;

/**
 * Services of a failure domain that have a usable target and all of whose dependencies have one.
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

/** Leaves out the services whose dependencies are not ready in the failure domain. */
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
