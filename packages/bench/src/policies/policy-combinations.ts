/** Policy combinations that the benchmark compares. */
import {
  BoundedAffinityTargetPolicy,
  ExperientialFairnessPolicy,
  FirstComePolicy,
  LeastReportedLoadTargetPolicy,
  LeastWaitDomainPolicy,
  PrefixAffinityTargetPolicy,
  RandomTargetPolicy,
  RoundRobinTargetPolicy,
  StayHomeDomainPolicy,
  TokenCountPolicy,
  WeightedCostDomainPolicy,
  type DomainPolicy,
  type FairnessPolicy,
  type TargetPolicy,
  type WindowAdmissionOptions,
} from '@marjoramcart/core';

export interface PolicyCombination {
  readonly name: string;
  readonly isBaseline: boolean;
  readonly target: () => TargetPolicy;
  readonly domain: () => DomainPolicy;
  readonly fairness: () => FairnessPolicy;
  readonly admission?: Partial<WindowAdmissionOptions>;
}

const targets: Readonly<Record<string, () => TargetPolicy>> = {
  random: () => new RandomTargetPolicy(),
  'round-robin': () => new RoundRobinTargetPolicy(),
  'least-load': () => new LeastReportedLoadTargetPolicy(),
  'prefix-affinity': () => new PrefixAffinityTargetPolicy(),
};
const domains: Readonly<Record<string, () => DomainPolicy>> = {
  'stay-home': () => new StayHomeDomainPolicy(),
  'least-wait': () => new LeastWaitDomainPolicy(),
};

const baselines: readonly PolicyCombination[] = Object.entries(targets).flatMap(
  ([targetName, target]) =>
    Object.entries(domains).map(([domainName, domain]) => ({
      name: `${targetName} / ${domainName}`,
      isBaseline: true,
      target,
      domain,
      fairness: () => new FirstComePolicy(),
      admission: { maxWaitLatencyTargets: Infinity, heavyShare: Infinity },
    })),
);

const defaults = {
  isBaseline: false,
  target: (): TargetPolicy => new BoundedAffinityTargetPolicy(),
  domain: (): DomainPolicy => new WeightedCostDomainPolicy(),
};

/** Name of the policy combination that is the default of the entry daemon. */
export const DEFAULT_COMBINATION = 'own / token-count';

export const policyCombinations: readonly PolicyCombination[] = [
  ...baselines,
  { ...defaults, name: DEFAULT_COMBINATION, fairness: () => new TokenCountPolicy() },
  { ...defaults, name: 'own / first-come', fairness: () => new FirstComePolicy() },
  { ...defaults, name: 'own / experiential', fairness: () => new ExperientialFairnessPolicy() },
];
