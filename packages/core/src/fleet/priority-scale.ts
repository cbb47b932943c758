/**
 * Priorities of requests where customers have priorities of their own. That of the customer comes first;
 * among customers of equal priority the more urgent route does, as long as both fit into the range that
 * engines know.
 */
import { RouteKind, type FleetConfig, type FleetCustomer, type Route } from './fleet-config.js';

/** Engines know ten priorities, of which the last is left for deferred requests. */
const PRIORITIES = 9;

export class PriorityScale {
  /** Priorities of the routes, most urgent first; empty if they do not fit beside those of customers. */
  private readonly levels: readonly number[];

  /** Distinct priorities of customers; undefined for customers and requests without one. */
  private readonly customerPriorities: readonly (number | undefined)[];

  /** @example new PriorityScale(config).of(customer, route) // 4 */
  constructor({ routes, customers }: Pick<FleetConfig, 'routes' | 'customers'>) {
    const own = [...(customers?.values() ?? [])].map(({ priority }) => priority);
    this.customerPriorities = [...new Set(own)];
    const streams = routes.filter(({ kind }) => kind === RouteKind.Stream);
    const levels = [...new Set(streams.map(({ priority }) => priority))].sort((a, b) => a - b);
    const isOwnPriorityOfRoutes =
      own.includes(undefined) || routes.some(({ isPublic }) => isPublic);
    const firsts = [
      ...own.flatMap((priority) => priority ?? []),
      ...(isOwnPriorityOfRoutes ? levels : []),
    ];
    const fits = (Math.max(0, ...firsts) + 1) * levels.length <= PRIORITIES;
    this.levels = customers && fits ? levels : [];
  }

  /** Priority of the requests of a customer on a route; 0 is the most urgent. */
  of(customer: Pick<FleetCustomer, 'priority'> | undefined, route: Route): number {
    const first = customer?.priority ?? route.priority;
    const level = this.levels.indexOf(route.priority);
    return level < 0 ? first : first * this.levels.length + level;
  }

  /** Priority of the least urgent requests of some routes. */
  leastUrgent(routes: readonly Route[]): number {
    return Math.max(
      ...routes.flatMap((route) =>
        [...this.customerPriorities, ...(route.isPublic === true ? [undefined] : [])].map(
          (priority) => this.of(priority === undefined ? undefined : { priority }, route),
        ),
      ),
    );
  }
}

const scales = new WeakMap<FleetConfig, PriorityScale>();

/**
 * Scale of a configuration, which is built once for each.
 *
 * @example priorityScaleOf(config).of(undefined, route) // 2
 */
export function priorityScaleOf(config: FleetConfig): PriorityScale {
  const known = scales.get(config) ?? new PriorityScale(config);
  scales.set(config, known);
  return known;
}
