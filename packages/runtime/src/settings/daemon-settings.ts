/** Schemas of the YAML settings of the daemons, such as addresses and failure domain. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use ip:port, for example 10.0.0.1:7001');
const url = z.url({ protocol: /^http$/ });

const common = {
  region: z.string().min(1),
  failure_domain: z.string().min(1),
  vm: z.string().min(1),
  /** Secret shared by all daemons of the fleet, which signs the messages between them. */
  fleet_secret: z.string().min(16, 'use at least 16 characters'),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
  /**
   * Address translation for networks where a process is not reachable at its own address. The keys
   * are own addresses of daemons and targets, the values the addresses to connect to.
   */
  dial_map: z.record(address, address).default({}),
  /** Compresses messages between daemons; turn it off to record them in readable form. */
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
  /** Limit of the request bodies of all calls in progress, together, MB. */
  max_body_memory_mb: z.number().positive().default(128),
  /** Limit of the number of request bodies that are being read. */
  max_open_bodies: z.number().int().positive().default(1024),
  /** Seed of the random number generator; the default is derived from the boot id. */
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
  /** Peer listeners of other control daemons, those of the local failure domain first. */
  seeds: z.array(address).default([]),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type ControlSettings = z.output<typeof controlSettingsSchema>;
