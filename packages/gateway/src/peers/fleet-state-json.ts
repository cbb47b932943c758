/** Fleet state in the JSON that gateways fetch from each other. */
import type {
  FleetConfig,
  FleetCustomer,
  FleetState,
  ServiceSpec,
  StateRevision,
  TargetRecord,
} from '@marjoramcart/core';

interface FleetConfigJson extends Omit<FleetConfig, 'services' | 'customers' | 'lacksCustomers'> {
  readonly services: readonly ServiceSpec[];
  /** Null if the deployment has none; not told by gateways of the previous release. */
  readonly customers?: readonly FleetCustomer[] | null;
}

export interface FleetStateJson {
  readonly revision: number;
  /** Not told by gateways of the previous release. */
  readonly era?: number;
  readonly config: FleetConfigJson;
  readonly targets: readonly TargetRecord[];
  readonly evacuated: readonly string[];
}

/** Result of a fetch, whose configuration may be encoded apart from the rest. */
export class FetchedState {
  constructor(
    private readonly state: FleetState,
    private readonly withCustomers: boolean,
  ) {}

  /** Configuration whose encoding answers share; undefined without customers, as it is short then. */
  get sharedConfig(): FleetConfig | undefined {
    const { config } = this.state;
    return this.withCustomers && config.customers ? config : undefined;
  }

  /** All but the configuration. */
  get rest(): Omit<FleetStateJson, 'config'> {
    const { era, revision, targets, evacuated } = this.state;
    return { era, revision, targets, evacuated: [...evacuated] };
  }

  toJSON(): FleetStateJson {
    return { ...this.rest, config: configToJson(this.state.config, this.withCustomers) };
  }
}

/** The state, as of the era that it is given. */
export function fromJson(json: FleetStateJson & StateRevision): FleetState {
  const { era, revision, config, targets, evacuated } = json;
  return {
    era,
    revision,
    config: configFromJson(config),
    targets,
    evacuated: new Set(evacuated),
  };
}

/** Gateways of the previous release would not use the customers, which may be many. */
export function configToJson(config: FleetConfig, withCustomers: boolean): FleetConfigJson {
  const { customers, lacksCustomers, services, ...rest } = config;
  return {
    ...rest,
    services: [...services.values()],
    ...(lacksCustomers || !withCustomers
      ? {}
      : { customers: customers ? [...customers.values()] : null }),
  };
}

function configFromJson({ customers, services, ...rest }: FleetConfigJson): FleetConfig {
  return {
    ...rest,
    services: new Map(services.map((service) => [service.name, service])),
    ...(customers ? { customers: new Map(customers.map((entry) => [entry.name, entry])) } : {}),
    ...(customers === undefined ? { lacksCustomers: true } : {}),
  };
}
