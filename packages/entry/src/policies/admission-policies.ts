/** Registers the fairness policies of the core package as plugins. */
import {
  ExperientialFairnessPolicy,
  FirstComePolicy,
  TokenCountPolicy,
  type FairnessPolicy,
} from '@marjoramcart/core';
import { PluginKind, registerPlugin } from '@marjoramcart/runtime';

const fairnessPolicies: Readonly<Record<string, () => FairnessPolicy>> = {
  default: () => new TokenCountPolicy(),
  'token-count': () => new TokenCountPolicy(),
  'first-come': () => new FirstComePolicy(),
  experiential: () => new ExperientialFairnessPolicy(),
};

Object.entries(fairnessPolicies).forEach(([name, create]) =>
  registerPlugin({ kind: PluginKind.AdmissionPolicy, name, create }),
);
