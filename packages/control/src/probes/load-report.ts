/** Schema of the load report of a target (`GET /load`) and conversions of it. */
import { z } from 'zod';
import {
  modelTags,
  type ConfigView,
  type ObservedEngine,
  type ServiceConfig,
  type TargetReport,
  type VmRecord,
} from '@marjoramcart/core';

export const engineModelSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).default([]),
  state: z.enum(['ready', 'loading', 'failed']),
  message: z.string().optional(),
});

export const loadReportSchema = z.object({
  sequence: z.number(),
  age_ms: z.number().default(0),
  state: z.enum(['live', 'leaving']),
  kind: z.enum(['engine', 'plain']),
  running: z.number().default(0),
  queued: z.number().default(0),
  wait_ms: z.number().default(0),
  concurrency: z.number().default(1),
  role: z.string().optional(),
  highest_fencing: z.number().default(0),
  models: z.array(engineModelSchema).default([]),
  services: z.array(z.string()).default([]),
});

export type LoadReport = z.output<typeof loadReportSchema>;

/**
 * Services that a target can serve according to its report. Any ready version of a model counts, so
 * that a service stays available during a roll-out.
 */
export function servicesOfReport(
  report: LoadReport,
  record: VmRecord,
  services: ConfigView['services'],
): string[] {
  const plainServices = [record.target?.service, ...report.services];
  const serves = (name: string, cfg: ServiceConfig): boolean =>
    cfg.kind === 'plain'
      ? plainServices.includes(name)
      : report.models.some(
          ({ model, state, adapters }) =>
            model === cfg.model &&
            state === 'ready' &&
            (cfg.adapter === undefined || adapters.includes(cfg.adapter)),
        );
  return Object.entries(services)
    .filter(([name, cfg]) => serves(name, cfg))
    .map(([name]) => name);
}

/** Converts a load report to an entry of the target table. */
export function targetReport(
  report: LoadReport,
  record: VmRecord,
  services: ConfigView['services'],
): TargetReport {
  return {
    services: servicesOfReport(report, record, services),
    leaving: report.state === 'leaving',
    running: report.running,
    queued: report.queued,
    waitMs: report.wait_ms,
    concurrency: report.concurrency,
    sequence: report.sequence,
    ageMs: report.age_ms,
    ...(report.models.length > 0 && { models: modelTags(report.models) }),
  };
}

/** Converts a load report to the engine state that orders are planned from. */
export function observedEngine(report: LoadReport, observedAt: number): ObservedEngine {
  return {
    models: report.models,
    role: report.role ?? 'mixed',
    highestFencing: report.highest_fencing,
    observedAt,
  };
}
