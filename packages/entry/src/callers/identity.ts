/** Authentication, residency and service checks that need only the request headers. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import {
  ResultCodes,
  allowedRegions,
  type ConfigView,
  type CustomerConfig,
  type DomainView,
  type EntrySummary,
  type ProcessRef,
  type ServiceConfig,
} from '@marjoramcart/core';
import { rejected, type Rejection } from '../request/call.js';

const KEY_DIGEST_HEX_DIGITS = 32;
const ENTRY_TTL_MS = 10_000;

/** One line of the entry list. */
export interface ListedEntry {
  readonly boot_id: string;
  readonly key_prefix: string;
  readonly address: string;
  readonly region: string;
  readonly ttl_ms: number;
}

/** Finds the customer of an API key. */
export function identify(
  config: ConfigView,
  headers: IncomingHttpHeaders,
): { readonly kind: 'customer'; readonly customer: CustomerConfig } | Rejection {
  const [, apiKey] = /^Bearer +(\S+)$/i.exec(headers.authorization ?? '') ?? [];
  if (apiKey === undefined) return rejected(ResultCodes.MissingApiKey);
  const digest = createHash('sha256').update(apiKey).digest('hex').slice(0, KEY_DIGEST_HEX_DIGITS);
  const customer = config.customersByKey.get(digest);
  return customer ? { kind: 'customer', customer } : rejected(ResultCodes.UnknownApiKey);
}

/** Finds a service that the customer may call. */
export function findService(
  config: ConfigView,
  customer: CustomerConfig,
  name: string,
  kind: ServiceConfig['kind'],
): { readonly kind: 'service'; readonly service: ServiceConfig } | Rejection {
  const service = Object.hasOwn(config.services, name) ? config.services[name] : undefined;
  if (service?.kind !== kind) return rejected(ResultCodes.UnknownService);
  if (customer.services && !customer.services.includes(name)) {
    return rejected(ResultCodes.ServiceNotAllowed);
  }
  return { kind: 'service', service };
}

/** Regions in which the customer may use at least one of its services. */
export function customerRegions(config: ConfigView, customer: CustomerConfig): string[] {
  const names = customer.services ?? Object.keys(config.services);
  const regions = names.flatMap((name) => {
    const service = config.services[name];
    return service ? allowedRegions(config, customer, service) : [];
  });
  return [...new Set(regions)];
}

/** Regions that are allowed for each model service that the customer may call. */
export function commonModelRegions(config: ConfigView, customer: CustomerConfig): string[] {
  const names = customer.services ?? Object.keys(config.services);
  const [first = [], ...rest] = names
    .map((name) => config.services[name])
    .filter((service) => service?.kind === 'model')
    .map((service) => allowedRegions(config, customer, service as ServiceConfig));
  return first.filter((region) => rest.every((regions) => regions.includes(region)));
}

/** Rejects a request that must not be handled in this region; lists the entries to use instead. */
export function checkResidency(
  allowed: readonly string[],
  self: ProcessRef,
  config: ConfigView,
  view: DomainView,
  next?: string,
): Rejection | undefined {
  if (allowed.includes(self.region)) return undefined;
  return rejected(ResultCodes.RegionNotAllowed, {
    close: true,
    fields: {
      entries: listEntries(allowed, self, config, view),
      ...(next !== undefined && { next }),
    },
  });
}

/** Entries in the allowed regions, sorted by network distance and then by open requests. */
export function listEntries(
  allowed: readonly string[],
  self: ProcessRef,
  config: ConfigView,
  view: DomainView,
): ListedEntry[] {
  const local = view.processes
    .filter(({ process, load }) => process.role === 'entry' && load?.draining !== true)
    .map(({ process, load }) => ({
      bootId: process.bootId,
      callerAddress: process.callerAddress ?? '',
      openRequests: load?.openRequests ?? 0,
      region: process.region,
      distanceMs: 0,
    }));
  const remote = view.summaries
    .filter(({ failureDomain }) => failureDomain !== self.failureDomain)
    .flatMap(({ entries, region }) =>
      entries
        .filter(({ draining }) => !draining)
        .map((entry: EntrySummary) => ({
          ...entry,
          region,
          distanceMs: distanceMs(config, self.region, region),
        })),
    );
  return [...local, ...remote]
    .filter(({ region, callerAddress }) => callerAddress !== '' && allowed.includes(region))
    .sort((a, b) => a.distanceMs - b.distanceMs || a.openRequests - b.openRequests)
    .map(({ bootId, callerAddress, region }) => ({
      boot_id: bootId,
      key_prefix: `${bootId}.`,
      address: callerAddress,
      region,
      ttl_ms: ENTRY_TTL_MS,
    }));
}

function distanceMs(config: ConfigView, from: string, to: string): number {
  if (from === to) return 1;
  const link = config.regions[from]?.links[to] ?? config.regions[to]?.links[from];
  return link?.one_way ?? Number.MAX_SAFE_INTEGER;
}
