/** Creates the routing and admission policies named in the settings. */
import {
  WindowAdmissionController,
  type AdmissionController,
  type DomainPolicy,
  type FairnessPolicy,
  type TargetPolicy,
  type WindowAdmissionOptions,
} from '@marjoramcart/core';
import { PluginKind, createPlugin } from '@marjoramcart/runtime';
import './index.js';

/**
 * Creates the policy that chooses a target.
 *
 * @throws Error when no policy has the name
 */
export function createTargetPolicy(name: string): TargetPolicy {
  return createPlugin<TargetPolicy>(PluginKind.RoutingPolicy, `target:${name}`);
}

/**
 * Creates the policy that chooses a failure domain.
 *
 * @throws Error when no policy has the name
 */
export function createDomainPolicy(name: string): DomainPolicy {
  return createPlugin<DomainPolicy>(PluginKind.RoutingPolicy, `domain:${name}`);
}

/**
 * Creates the admission controller of one service with the named fairness policy.
 *
 * @throws Error when no policy has the name
 */
export function createAdmission(
  name: string,
  options: WindowAdmissionOptions,
): AdmissionController {
  const fairness = createPlugin<FairnessPolicy>(PluginKind.AdmissionPolicy, name);
  return new WindowAdmissionController(fairness, options);
}
