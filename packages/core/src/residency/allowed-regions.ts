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

/**
 * Regions that may handle requests of a customer to a service, both named by their ids; none if the
 * configuration lacks one of them. A request that waited is checked by this, since its customer and
 * its service may be those of an older configuration.
 *
 * @example allowedRegionsById(view, { customer: 'c1', service: 'chat' }) // ['north']
 */
export function allowedRegionsById(
  view: Pick<ConfigView, 'regions' | 'services' | 'customersById'> | undefined,
  ids: { readonly customer: string; readonly service: string },
): string[] {
  const customer = view?.customersById.get(ids.customer);
  const isKnown = view && Object.hasOwn(view.services, ids.service);
  const service = isKnown ? view.services[ids.service] : undefined;
  return view && customer && service ? allowedRegions(view, customer, service) : [];
}
