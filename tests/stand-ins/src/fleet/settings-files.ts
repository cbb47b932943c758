/** Writes the settings files of the daemons. */
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
  dialConfig: DomainDialConfig,
  options: SettingsOptions,
): string {
  const otherControls = layout.controls.filter(({ vm }) => vm !== plan.vm);
  const isLocal = ({ domain }: ProcessLocation): boolean => domain === plan.domain;
  const platformUrl = `http://${dialConfig.platformAddress}`;
  const settings: ControlSettings = controlSettingsSchema.parse({
    ...commonSettings(plan, dialConfig, options),
    listen: { peers: plan.peers, admin: plan.admin },
    platform: { config: platformUrl, vms: platformUrl },
    seeds: [
      ...otherControls.filter(isLocal),
      ...otherControls.filter((other) => !isLocal(other)),
    ].map(({ peers }) => peers),
  });
  return writeYaml(options.folder, plan.name, settings);
}

/** Writes the settings of an entry daemon and returns the file's path. */
export function writeEntrySettings(
  plan: EntryPlan,
  dialConfig: DomainDialConfig,
  options: SettingsOptions,
): string {
  const settings: EntrySettings = entrySettingsSchema.parse({
    ...commonSettings(plan, dialConfig, options),
    listen: { callers: plan.callers, peers: plan.peers, admin: plan.admin },
    control: plan.control,
    policies: options.policies,
    seed: options.seed,
  });
  return writeYaml(options.folder, plan.name, settings);
}

function commonSettings(
  plan: ProcessLocation,
  dialConfig: DomainDialConfig,
  options: SettingsOptions,
): object {
  return {
    region: plan.region,
    failure_domain: plan.domain,
    vm: plan.vm,
    fleet_secret: options.fleetSecret,
    log: { level: options.logLevel, format: 'json' },
    dial_map: dialConfig.dialMap,
    compress_messages: options.compressMessages ?? true,
  };
}

function writeYaml(folder: string, name: string, settings: object): string {
  const file = `${folder}/${name}.yaml`;
  // eslint-disable-next-line n/no-sync
  writeFileSync(file, stringify(settings));
  return file;
}
