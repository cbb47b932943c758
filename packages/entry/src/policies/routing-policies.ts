/** Registers core's routing policies as plugins: `target:<name>` and `domain:<name>`. */
import {
  BoundedAffinityTargetPolicy,
  LeastReportedLoadTargetPolicy,
  LeastWaitDomainPolicy,
  PrefixAffinityTargetPolicy,
  RandomTargetPolicy,
  RoundRobinTargetPolicy,
  StayHomeDomainPolicy,
  WeightedCostDomainPolicy,
  type DomainPolicy,
  type TargetPolicy,
} from '@marjoramcart/core';
import { PluginKind, registerPlugin } from '@marjoramcart/runtime';

const targetPolicies: Readonly<Record<string, () => TargetPolicy>> = {
  default: () => new BoundedAffinityTargetPolicy(),
  'bounded-affinity': () => new BoundedAffinityTargetPolicy(),
  random: () => new RandomTargetPolicy(),
  'round-robin': () => new RoundRobinTargetPolicy(),
  'least-reported-load': () => new LeastReportedLoadTargetPolicy(),
  'prefix-affinity': () => new PrefixAffinityTargetPolicy(),
};

const domainPolicies: Readonly<Record<string, () => DomainPolicy>> = {
  default: () => new WeightedCostDomainPolicy(),
  'weighted-cost': () => new WeightedCostDomainPolicy(),
  'stay-home': () => new StayHomeDomainPolicy(),
  'least-wait': () => new LeastWaitDomainPolicy(),
};

Object.entries(targetPolicies).forEach(([name, create]) =>
  registerPlugin({ kind: PluginKind.RoutingPolicy, name: `target:${name}`, create }),
);
Object.entries(domainPolicies).forEach(([name, create]) =>
  registerPlugin({ kind: PluginKind.RoutingPolicy, name: `domain:${name}`, create }),
);
