/** Settings of our own: `gateway.yaml`. All have defaults. */
import { z } from 'zod';

export const gatewayTuningSchema = z.strictObject({
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
  /** First estimate of an engine's speed; measured times correct it. */
  engine: z
    .strictObject({
      /** Prompt tokens that a target reads in a ms beside its other work. */
      prefill_tokens_per_ms: z.number().positive().default(54),
      /** Time of attention for a million pairs of tokens, ms. */
      attention_ms_per_million: z.number().min(0).default(0.24),
      /** Time to the first token of a short prompt, beside its reading, ms. */
      first_token_ms: z.number().positive().default(50),
      /** Time from the first token to the last one, ms. */
      stream_ms: z.number().positive().default(2000),
    })
    .prefault({}),
  /** First estimate for plain services. */
  plain: z
    .strictObject({
      /** Time of a request, ms. */
      request_ms: z.number().positive().default(60),
    })
    .prefault({}),
  /** Port of metrics and status, on the address of the VM. */
  metrics_port: z.number().int().min(1).max(65_535).default(9464),
  /** Life of an answer of the directory, s. Callers may keep it three times as long. */
  directory_ttl_s: z.number().positive().default(1),
});

export type GatewayTuning = z.output<typeof gatewayTuningSchema>;
