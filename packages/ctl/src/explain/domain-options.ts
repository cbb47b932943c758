/** Finds the failure domains that can run a request, from the configuration and optionally a status. */
import {
  allowedRegions,
  type AcceptedConfig,
  type CustomerConfig,
  type DomainOption,
  type RegionConfig,
  type ServiceConfig,
  type StatusResult,
} from '@marjoramcart/core';

/** The request that `explain` evaluates. */
export interface ExplainedRequest {
  readonly config: AcceptedConfig;
  readonly customer: CustomerConfig;
  readonly serviceId: string;
  readonly service: ServiceConfig;
  /** Region of the entry that accepts the request. */
  readonly region: string;
  readonly promptTokens: number;
  /** Tokens of the prompt that are cached in the local region. */
  readonly cachedTokens: number;
  readonly status?: StatusResult;
}

/** A configured failure domain and whether the request may be sent there. */
export interface Eligibility {
  readonly failureDomain: string;
  readonly region: string;
  /** Why the request may not be sent there; absent when it may. */
  readonly refused?: string;
}

/** One-way latency between failure domains of one region, in ms. */
const SAME_REGION_ONE_WAY_MS = 1;
const BYTES_PER_MBIT = 125_000;

/**
 * Returns all failure domains, and for each the reasons that exclude it: the customer's permissions
 * and data residency, and the service's regions.
 *
 * @example eligibilityOf(request).filter(({ refused }) => !refused)
 */
export function eligibilityOf({
  config,
  customer,
  serviceId,
  service,
}: ExplainedRequest): Eligibility[] {
  const { main } = config;
  const allowed = allowedRegions(main, customer, service);
  const mayCall = !customer.services || customer.services.includes(serviceId);
  return Object.entries(main.regions).flatMap(([region, { failure_domains: domains }]) =>
    domains.map((failureDomain) => {
      const reasons = [
        ...(mayCall ? [] : [`the customer may not call '${serviceId}'`]),
        ...(service.regions.includes(region) ? [] : [`the service is not in '${region}'`]),
        ...(allowed.includes(region) || !service.regions.includes(region)
          ? []
          : [`the customer's data may not be in '${region}'`]),
      ];
      return {
        failureDomain,
        region,
        refused: reasons.length > 0 ? reasons.join('; ') : undefined,
      };
    }),
  );
}

/**
 * Returns load and distance of the eligible failure domains. Without a status, the configured
 * minimum of targets is assumed to be ready and idle.
 *
 * @example domainOptionsOf(request)[0]?.oneWayMs // 0
 */
export function domainOptionsOf(request: ExplainedRequest): DomainOption[] {
  const localDomain = localDomainOf(request);
  return eligibilityOf(request)
    .filter(({ refused }) => refused === undefined)
    .map(({ failureDomain, region }) => {
      const isLocal = failureDomain === localDomain;
      const load = loadOf(request, failureDomain);
      return { failureDomain, region, ...load, ...distanceOf(request, region, isLocal) };
    })
    .sort(
      (a, b) => Number(b.failureDomain === localDomain) - Number(a.failureDomain === localDomain),
    );
}

/**
 * Returns the failure domain whose entry accepts the request: that of the daemon whose status is
 * given, if it is in the region, otherwise the first of the region.
 *
 * @example localDomainOf(request) // 'north-1'
 */
export function localDomainOf({ config, region, status }: ExplainedRequest): string | undefined {
  const domains = config.main.regions[region]?.failure_domains ?? [];
  return domains.find((domain) => domain === status?.control.failureDomain) ?? domains[0];
}

function loadOf({ service, serviceId, status }: ExplainedRequest, failureDomain: string) {
  if (!status) {
    const readyTargets = service.targets.min;
    return { readyTargets, waitMs: 0, freeSlots: readyTargets * service.concurrency, ageMs: 0 };
  }
  const summary = status.summaries.find((item) => item.failureDomain === failureDomain);
  const found = summary?.services.find((item) => item.service === serviceId);
  const { readyTargets = 0, waitMs = 0, freeSlots = 0 } = found ?? {};
  return { readyTargets, waitMs, freeSlots, ageMs: summary?.ageMs ?? 0 };
}

function distanceOf(request: ExplainedRequest, region: string, isLocal: boolean) {
  const { config, service, promptTokens } = request;
  const isRemote = region !== request.region;
  // Prefix caches are not shared between regions.
  const uncachedTokens = isRemote ? promptTokens : Math.max(0, promptTokens - request.cachedTokens);
  const prefillTokensPerS =
    service.kind === 'model' ? config.main.models[service.model]?.prefill_tokens_per_s : undefined;
  const prefillMs =
    prefillTokensPerS === undefined ? 0 : (uncachedTokens / prefillTokensPerS) * 1000;
  if (!isRemote) return { oneWayMs: isLocal ? 0 : SAME_REGION_ONE_WAY_MS, prefillMs };
  const link = linkBetween(config.main.regions, request.region, region);
  const mbitPerS = link?.mbit_per_s ?? 0;
  const share = config.main.limits.link_share_percent / 100;
  return {
    oneWayMs: link?.one_way ?? 0,
    prefillMs,
    linkMbitPerS: mbitPerS,
    linkBudgetBytes: Math.round(mbitPerS * BYTES_PER_MBIT * share),
  };
}

function linkBetween(regions: Readonly<Record<string, RegionConfig>>, a: string, b: string) {
  return regions[a]?.links[b] ?? regions[b]?.links[a];
}
