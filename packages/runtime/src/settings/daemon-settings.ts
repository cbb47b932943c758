/** Settings of the daemons, in YAML. A process learns its addresses and failure domain here. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use ip:port, for example 10.0.0.1:7001');
const url = z.url({ protocol: /^http$/ });

const common = {
  region: z.string().min(1),
  failure_domain: z.string().min(1),
  vm: z.string().min(1),
  /** Secret that all daemons of the fleet share. */
  fleet_secret: z.string().min(16, 'use at least 16 characters'),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
  /**
   * Address translation: daemons and targets named by the left address are dialled at the right
   * one, for networks where a process is reached by another address than its own.
   */
  dial_map: z.record(address, address).default({}),
  /** Compression of messages between daemons; off for recording them in a readable form. */
  compress_messages: z.boolean().default(true),
};

export const entrySettingsSchema = z.strictObject({
  ...common,
  listen: z.strictObject({ callers: address, peers: address, admin: address }),
  /** Peer listener of the control daemon on this VM. */
  control: address,
  policies: z
    .strictObject({
      target: z.string().default('default'),
      domain: z.string().default('default'),
      fairness: z.string().default('default'),
    })
    .prefault({}),
  /** Seed of the random source; the boot id seeds it when left out. */
  seed: z.number().int().optional(),
});

export const controlSettingsSchema = z.strictObject({
  ...common,
  listen: z.strictObject({ peers: address, admin: address }),
  platform: z.strictObject({
    /** Base URLs of the platform's services. */
    config: url,
    vms: url,
  }),
  /** Peer listeners of other control daemons, own failure domain first. */
  seeds: z.array(address).default([]),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type ControlSettings = z.output<typeof controlSettingsSchema>;
