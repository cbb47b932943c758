/** Creates the policies named in the settings; this package's own ones stand behind `default`. */
import { type AdmissionController, type DomainPolicy, type TargetPolicy } from '@marjoramcart/core';
import { PluginKind, createPlugin, pluginNames } from '@marjoramcart/platform';
import { FirstComeWindow } from './admission/first-come-window.js';
import { HomeFirstPolicy } from './routing/home-first-policy.js';
import { LeastLoadedPolicy } from './routing/least-loaded-policy.js';

const DEFAULT_NAME = 'default';

/** Policy that chooses a target. */
export function createTargetPolicy(name: string): TargetPolicy {
  return choose(PluginKind.RoutingPolicy, name, {}, () => new LeastLoadedPolicy());
}

/** Policy that chooses a failure domain; registered under `domain/<name>`. */
export function createDomainPolicy(name: string): DomainPolicy {
  const registered = name === DEFAULT_NAME ? name : `domain/${name}`;
  return choose(PluginKind.RoutingPolicy, registered, {}, () => new HomeFirstPolicy(), false);
}

/** Admission controller of one service. */
export function createAdmission(name: string, window: number): AdmissionController {
  return choose(PluginKind.AdmissionPolicy, name, { window }, () => new FirstComeWindow(window));
}

function choose<Instance>(
  kind: PluginKind,
  name: string,
  options: unknown,
  fallback: () => Instance,
  replaceable = true,
): Instance {
  const registered = replaceable && pluginNames(kind).includes(name);
  if (name === DEFAULT_NAME && !registered) return fallback();
  return createPlugin<Instance>(kind, name, options);
}
