/** `marjoramctl explain`: where a request may go, where it goes, and why. */
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
import { readAcceptedConfig } from '../text-files.js';
import { eligibilityOf, localDomainOf, domainOptionsOf, type ExplainedRequest } from './domain-options.js';

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

/** Bytes of a prompt's token on the wire, on average. */
const BYTES_PER_TOKEN = 4;

/**
 * Explains the choice for one request. The result is `Faults` when no failure domain can run it.
 *
 * @throws CtlError when an id is unknown or a file or daemon can't be read.
 * @example await explainCommand(io, options) // 0
 */
export async function explainCommand(io: CtlIo, options: ExplainOptions): Promise<ExitCode> {
  const text = await readAcceptedConfig(io, options.text);
  if (!text) return ExitCode.ProblemsFound;
  const question = await questionOf(io, options, text);
  const eligibility = eligibilityOf(question);
  const choices = domainOptionsOf(question);
  const decision = decide(options.policy, question, choices);
  const allowed = allowedRegions(text.main, question.customer, question.service);
  if (options.json) {
    const answer = { allowedRegions: allowed, eligibility, options: choices, decision };
    io.out(JSON.stringify(answer, null, 2));
  } else {
    [
      `allowed regions: ${allowed.join(', ') || 'none'}`,
      ...eligibility.map(
        ({ failureDomain, region, refused }) =>
          `  ${failureDomain} (${region}): ${refused ? `no, ${refused}` : 'yes'}`,
      ),
      ...(question.status ? [] : ['no status given: targets at their minimum, idle']),
      ...linesOf(options.policy, decision, choices),
    ].forEach(io.out);
  }
  return decision.failureDomain === undefined ? ExitCode.ProblemsFound : ExitCode.Ok;
}

async function questionOf(
  io: CtlIo,
  options: ExplainOptions,
  text: ExplainedRequest['config'],
): Promise<ExplainedRequest> {
  const customer = text.customers.find(({ id }) => id === options.customer);
  if (!customer) throw new CtlError(`there is no customer '${options.customer}'`);
  const { main } = text;
  const service = Object.hasOwn(main.services, options.service)
    ? main.services[options.service]
    : undefined;
  if (!service) throw new CtlError(`there is no service '${options.service}'`);
  if (!Object.hasOwn(main.regions, options.region)) {
    throw new CtlError(`there is no region '${options.region}'`);
  }
  const { region, promptTokens, cachedTokens, service: serviceId } = options;
  const status = await readStatus(io, options);
  return { config: text, customer, serviceId, service, region, promptTokens, cachedTokens, status };
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
  question: ExplainedRequest,
  choices: readonly DomainOption[],
): DomainDecision {
  const homeDomain = localDomainOf(question);
  const home = choices.find(({ failureDomain }) => failureDomain === homeDomain);
  // An entry refuses a request that its own region may not handle; the caller goes elsewhere.
  if (!home) return { scores: [] };
  const others = choices.filter((option) => option !== home);
  const bodyBytes = question.promptTokens * BYTES_PER_TOKEN;
  const { serviceId, promptTokens, service } = question;
  const latencyTargetMs = service.kind === 'model' ? service.first_token : undefined;
  const req = { service: serviceId, promptTokens, maxTokens: 0, bodyBytes, latencyTargetMs };
  return createPolicy(policyName).choose(req, home, others, service.weights);
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
