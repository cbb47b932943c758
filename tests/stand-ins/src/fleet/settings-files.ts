/** Settings files of the daemons. */
import { writeFileSync } from 'node:fs';
import { stringify } from 'yaml';
import {
  controlSettingsSchema,
  entrySettingsSchema,
  type ControlSettings,
  type EntrySettings,
} from '@marjoramcart/runtime';
import type { ControlPlan, EntryPlan, Layout, ProcessLocation } from './layout.js';
import type { DomainDialConfig } from './proxy-links.js';

export interface SettingsOptions {
  readonly folder: string;
  readonly fleetSecret: string;
  readonly logLevel: EntrySettings['log']['level'];
  readonly seed: number;
  readonly compressMessages?: boolean;
  readonly policies: Partial<EntrySettings['policies']>;
}

/** Writes the settings of a control daemon and returns the file's path. */
export function writeControlSettings(
  plan: ControlPlan,
  layout: Layout,
  dialing: DomainDialConfig,
  options: SettingsOptions,
): string {
  const others = layout.controls.filter(({ vm }) => vm !== plan.vm);
  const isOwn = ({ domain }: ProcessLocation): boolean => domain === plan.domain;
  const base = `http://${dialing.platformAddress}`;
  const settings: ControlSettings = controlSettingsSchema.parse({
    ...commonSettings(plan, dialing, options),
    listen: { peers: plan.peers, admin: plan.admin },
    platform: { config: base, vms: base },
    seeds: [...others.filter(isOwn), ...others.filter((other) => !isOwn(other))].map(
      ({ peers }) => peers,
    ),
  });
  return writeYaml(options.folder, plan.name, settings);
}

/** Writes the settings of an entry daemon and returns the file's path. */
export function writeEntrySettings(
  plan: EntryPlan,
  dialing: DomainDialConfig,
  options: SettingsOptions,
): string {
  const settings: EntrySettings = entrySettingsSchema.parse({
    ...commonSettings(plan, dialing, options),
    listen: { callers: plan.callers, peers: plan.peers, admin: plan.admin },
    control: plan.control,
    policies: options.policies,
    seed: options.seed,
  });
  return writeYaml(options.folder, plan.name, settings);
}

function commonSettings(
  plan: ProcessLocation,
  dialing: DomainDialConfig,
  options: SettingsOptions,
): object {
  return {
    region: plan.region,
    failure_domain: plan.domain,
    vm: plan.vm,
    fleet_secret: options.fleetSecret,
    log: { level: options.logLevel, format: 'json' },
    dial_map: dialing.dialMap,
    compress_messages: options.compressMessages ?? true,
  };
}

function writeYaml(folder: string, name: string, settings: object): string {
  const file = `${folder}/${name}.yaml`;
  // eslint-disable-next-line n/no-sync
  writeFileSync(file, stringify(settings));
  return file;
}
