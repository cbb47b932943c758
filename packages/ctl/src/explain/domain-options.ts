/** Failure domains that could run a request, from the text and, when given, a status. */
import {
  allowedRegions,
  type AcceptedConfig,
  type CustomerConfig,
  type DomainOption,
  type RegionConfig,
  type ServiceConfig,
  type StatusResult,
} from '@marjoramcart/core';

/** A request as `explain` is asked about it. */
export interface ExplainedRequest {
  readonly config: AcceptedConfig;
  readonly customer: CustomerConfig;
  readonly serviceId: string;
  readonly service: ServiceConfig;
  /** Region of the entry that accepts the request. */
  readonly region: string;
  readonly promptTokens: number;
  /** Tokens of the prompt that the home region has cached. */
  readonly cachedTokens: number;
  readonly status?: StatusResult;
}

/** A failure domain of the text and whether the request may go there. */
export interface Eligibility {
  readonly failureDomain: string;
  readonly region: string;
  /** Why the request may not go there, if so. */
  readonly refused?: string;
}

/** Latency between failure domains of one region, ms one way. */
const SAME_REGION_ONE_WAY_MS = 1;
const BYTES_PER_MBIT = 125_000;

/**
 * All failure domains of the text with residency and the service's regions applied.
 *
 * @example eligibilityOf(question).filter(({ refused }) => !refused)
 */
export function eligibilityOf({ config: text, customer, serviceId, service }: ExplainedRequest): Eligibility[] {
  const { main } = text;
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
 * Figures of the eligible failure domains. Without a status, the minimum of targets of the text is
 * taken as ready and idle.
 *
 * @example optionsOf(question)[0]?.oneWayMs // 0
 */
export function domainOptionsOf(question: ExplainedRequest): DomainOption[] {
  const homeDomain = localDomainOf(question);
  return eligibilityOf(question)
    .filter(({ refused }) => refused === undefined)
    .map(({ failureDomain, region }) => {
      const home = failureDomain === homeDomain;
      const load = loadOf(question, failureDomain);
      return { failureDomain, region, ...load, ...distanceOf(question, region, home) };
    })
    .sort(
      (a, b) => Number(b.failureDomain === homeDomain) - Number(a.failureDomain === homeDomain),
    );
}

/**
 * The failure domain that accepts the request: the status's own, if it is in the region, or the
 * region's first.
 *
 * @example homeDomainOf(question) // 'north-1'
 */
export function localDomainOf({ config: text, region, status }: ExplainedRequest): string | undefined {
  const domains = text.main.regions[region]?.failure_domains ?? [];
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

function distanceOf(question: ExplainedRequest, region: string, home: boolean) {
  const { config: text, service, promptTokens } = question;
  const away = region !== question.region;
  // Prefix caches exist only within a region.
  const coldTokens = away ? promptTokens : Math.max(0, promptTokens - question.cachedTokens);
  const speed =
    service.kind === 'model' ? text.main.models[service.model]?.prefill_tokens_per_s : undefined;
  const prefillMs = speed === undefined ? 0 : (coldTokens / speed) * 1000;
  if (!away) return { oneWayMs: home ? 0 : SAME_REGION_ONE_WAY_MS, prefillMs };
  const link = linkBetween(text.main.regions, question.region, region);
  const mbitPerS = link?.mbit_per_s ?? 0;
  const share = text.main.limits.link_share_percent / 100;
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
