/** Schema of `gateway.yaml`: settings that the platform's file does not contain. All have defaults. */
import { z } from 'zod';

export const gatewayTuningSchema = z.strictObject({
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
  /** Initial estimate of an engine's speed, which measured times adjust. */
  engine: z
    .strictObject({
      /** Prefill speed of a target while it also decodes, prompt tokens per ms. */
      prefill_tokens_per_ms: z.number().positive().default(54),
      /** Attention time per million pairs of tokens, ms. */
      attention_ms_per_million: z.number().min(0).default(0.24),
      /** Time to the first token of a short prompt, without its prefill, ms. */
      first_token_ms: z.number().positive().default(50),
      /** Time from the first token to the last one, ms. */
      stream_ms: z.number().positive().default(2000),
    })
    .prefault({}),
  /** Initial estimate for plain services. */
  plain: z
    .strictObject({
      /** Duration of a request, ms. */
      request_ms: z.number().positive().default(60),
    })
    .prefault({}),
  /** Port for metrics and status, on the address of the VM. */
  metrics_port: z.number().int().min(1).max(65_535).default(9464),
  /** Lifetime of a directory response, s. Callers may cache it three times as long. */
  directory_ttl_s: z.number().positive().default(1),
  /**
   * Largest share of the requests on region-bound routes of a host that the directory may send to
   * regions in which they can't be handled, where they are refused.
   */
  directory_misdirected_share: z.number().min(0).max(1).default(0.05),
  /**
   * Whether the capacity of a short service is divided between customers. It protects customers from
   * each other, and leaves some capacity unused while their demands change quickly.
   */
  divide_capacity: z.boolean().default(false),
  /** Limit of the request bodies that are read at the same time. */
  max_open_bodies: z.number().int().positive().default(1024),
  /** Upper bound of the open connections of callers, and of those of other gateways. */
  max_connections: z.number().int().positive().default(8192),
});

export type GatewayTuning = z.output<typeof gatewayTuningSchema>;
