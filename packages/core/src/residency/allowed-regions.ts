/** Computes the regions in which a request may be handled. */
import type { ConfigView } from '../config/snapshot.js';
import type { CustomerConfig, ServiceConfig } from '../config/config-schema.js';

/**
 * Regions that both the customer and the service allow.
 *
 * @example allowedRegions(view, customer, service).includes('north')
 */
export function allowedRegions(
  view: Pick<ConfigView, 'regions'>,
  customer: Pick<CustomerConfig, 'regions'>,
  service: Pick<ServiceConfig, 'regions'>,
): string[] {
  const customerRegions = customer.regions ?? Object.keys(view.regions);
  return service.regions.filter((region) => customerRegions.includes(region));
}
