/** `marjoramctl explain`: where a request may be sent, which failure domain is chosen, and why. */
import { readFile } from 'node:fs/promises';
import {
  allowedRegions,
  type DomainDecision,
  type DomainOption,
  type DomainPolicy,
  type StatusResult,
} from '@marjoramcart/core';
import { createPlugin, PluginKind } from '@marjoramcart/runtime';
import { CtlError, ExitCode, oneLine, type CtlIo } from '../ctl-io.js';
import { formatTable } from '../table.js';
import { readAcceptedConfig } from '../config-files.js';
import {
  eligibilityOf,
  localDomainOf,
  domainOptionsOf,
  type ExplainedRequest,
} from './domain-options.js';

export interface ExplainOptions {
  readonly text: readonly string[];
  readonly customer: string;
  readonly service: string;
  readonly region: string;
  readonly statusFile?: string;
  readonly address?: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly policy: string;
  readonly json?: boolean;
}

/** Average size of a prompt token in a request body. */
const BYTES_PER_PROMPT_TOKEN = 4;

/**
 * Explains the routing of one request. The result is `ProblemsFound` when no failure domain can run
 * it or the configuration is invalid.
 *
 * @throws CtlError when an id is unknown or a file or daemon can't be read.
 * @example await explainCommand(io, options) // 0
 */
export async function explainCommand(io: CtlIo, options: ExplainOptions): Promise<ExitCode> {
  const config = await readAcceptedConfig(io, options.text);
  if (!config) return ExitCode.ProblemsFound;
  const request = await readRequest(io, options, config);
  const eligibility = eligibilityOf(request);
  const choices = domainOptionsOf(request);
  const decision = decide(options.policy, request, choices);
  const allowed = allowedRegions(config.main, request.customer, request.service);
  if (options.json) {
    const output = { allowedRegions: allowed, eligibility, options: choices, decision };
    io.out(JSON.stringify(output, null, 2));
  } else {
    [
      `allowed regions: ${allowed.join(', ') || 'none'}`,
      ...eligibility.map(
        ({ failureDomain, region, refused }) =>
          `  ${failureDomain} (${region}): ${refused ? `no, ${refused}` : 'yes'}`,
      ),
      ...(request.status ? [] : ['no status given: targets at their minimum, idle']),
      ...linesOf(options.policy, decision, choices),
    ].forEach(io.out);
  }
  return decision.failureDomain === undefined ? ExitCode.ProblemsFound : ExitCode.Ok;
}

async function readRequest(
  io: CtlIo,
  options: ExplainOptions,
  config: ExplainedRequest['config'],
): Promise<ExplainedRequest> {
  const customer = config.customers.find(({ id }) => id === options.customer);
  if (!customer) throw new CtlError(`there is no customer '${options.customer}'`);
  const { main } = config;
  const service = Object.hasOwn(main.services, options.service)
    ? main.services[options.service]
    : undefined;
  if (!service) throw new CtlError(`there is no service '${options.service}'`);
  if (!Object.hasOwn(main.regions, options.region)) {
    throw new CtlError(`there is no region '${options.region}'`);
  }
  const { region, promptTokens, cachedTokens, service: serviceId } = options;
  const status = await readStatus(io, options);
  return { config, customer, serviceId, service, region, promptTokens, cachedTokens, status };
}

async function readStatus(
  io: CtlIo,
  { statusFile, address }: ExplainOptions,
): Promise<StatusResult | undefined> {
  try {
    if (address !== undefined) return await io.fetchStatus(address);
    if (statusFile === undefined) return undefined;
    return JSON.parse(await readFile(statusFile, 'utf8')) as StatusResult;
  } catch (err) {
    throw new CtlError(`${address ?? statusFile}: ${oneLine(err)}`);
  }
}

function decide(
  policyName: string,
  request: ExplainedRequest,
  choices: readonly DomainOption[],
): DomainDecision {
  const localDomain = localDomainOf(request);
  const local = choices.find(({ failureDomain }) => failureDomain === localDomain);
  // An entry rejects a request that may not run in its region; the caller must use another region.
  if (!local) return { scores: [] };
  const others = choices.filter((option) => option !== local);
  const bodyBytes = request.promptTokens * BYTES_PER_PROMPT_TOKEN;
  const { serviceId, promptTokens, service } = request;
  const latencyTargetMs = service.kind === 'model' ? service.first_token : undefined;
  const req = { service: serviceId, promptTokens, maxTokens: 0, bodyBytes, latencyTargetMs };
  return createPolicy(policyName).choose(req, local, others, service.weights);
}

function createPolicy(name: string): DomainPolicy {
  try {
    return createPlugin<DomainPolicy>(PluginKind.RoutingPolicy, name);
  } catch (err) {
    throw new CtlError(oneLine(err));
  }
}

function linesOf(
  policy: string,
  { failureDomain, scores }: DomainDecision,
  choices: readonly DomainOption[],
): string[] {
  if (scores.length === 0) return ['the request is refused in this region'];
  const number = (value: number): string => value.toFixed(1);
  const rows = scores.map((score) => {
    const option = choices.find((item) => item.failureDomain === score.failureDomain);
    return [
      score.failureDomain,
      String(option?.readyTargets ?? '-'),
      ...[option?.waitMs, option?.oneWayMs, option?.prefillMs].map((value) => number(value ?? 0)),
      ...[score.tail, score.cost, score.away, score.total].map(number),
      score.excluded ?? (score.failureDomain === failureDomain ? 'chosen' : ''),
    ];
  });
  const header = ['DOMAIN', 'READY', 'WAIT', 'ONE-WAY', 'PREFILL', 'TAIL', 'COST', 'AWAY', 'TOTAL'];
  return [
    `policy '${policy}', all times and terms in ms:`,
    ...formatTable([[...header, 'RESULT'], ...rows]),
    failureDomain === undefined
      ? 'no failure domain can run the request'
      : `the request goes to ${failureDomain}, which has the lowest total`,
  ];
}
