/** Task that serves the directory of gateways to callers and the readiness check to the platform. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  chooseGateways,
  GatewayPhase,
  sampleItems,
  type DirectoryChoice,
  type GatewayTable,
  type HostResidency,
  type RandomSource,
} from '@marjoramcart/core';
import { HttpListener, type Logger, type Task, type TimerService } from '@marjoramcart/runtime';
import type { DirectoryProtocol, DirectoryQuery } from '../ports/request-protocol.js';

/** Limit of gateway addresses in a response; of more gateways, each response names others. */
const MAX_ADDRESSES = 64;
/** Limit of the responses that are kept for comparison, so that only changes are logged. */
const MAX_REMEMBERED_RESPONSES = 64;

export interface DirectoryTaskDeps {
  /** `ip:port` of the directory and of the readiness check; equal when one listener serves both. */
  readonly directoryAddress: string;
  readonly readyAddress: string;
  /** `ip:port` at which callers reach this gateway; the port is the same on all VMs. */
  readonly callersAddress: string;
  readonly node: string;
  readonly region: string;
  readonly ttlS: number;
  readonly protocol: DirectoryProtocol;
  readonly table: GatewayTable;
  readonly phase: () => GatewayPhase;
  readonly random: RandomSource;
  /** Where requests for a host may be handled, by the configuration in force. */
  readonly residencyOf: (host: string) => HostResidency;
  readonly configVersion: () => number;
  readonly timers: TimerService;
  readonly log: Logger;
}

export class DirectoryTask implements Task {
  readonly name = 'directory';

  private readonly listeners: HttpListener[];

  /** Group and numbers of gateways of the last response, by region and host. */
  private readonly lastResponses = new Map<string, string>();

  constructor(private readonly deps: DirectoryTaskDeps) {
    const addresses = new Set([deps.directoryAddress, deps.readyAddress]);
    this.listeners = [...addresses].map(
      (address) =>
        new HttpListener({
          address,
          handler: (req, res) => this.handle(req, res),
          onError: (err) => deps.log.error('request failed', { err }),
        }),
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.listen()));
  }

  stop(): Promise<void> {
    this.listeners.forEach((listener) => listener.destroy());
    return Promise.resolve();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const { protocol, phase } = this.deps;
    req.resume();
    if (protocol.isReadyCheck(req)) {
      const ready = phase() === GatewayPhase.Ready;
      res.writeHead(ready ? 200 : 503, { 'content-length': 0 }).end();
      return;
    }
    const query = protocol.readQuery(req);
    // A starting gateway does not know the other gateways yet, so callers have to ask another one.
    if (!query || phase() === GatewayPhase.Starting) {
      res.writeHead(query ? 503 : 404, { 'content-length': 0 }).end();
      return;
    }
    const body = protocol.encodeResponse(this.addresses(query), this.deps.ttlS);
    res
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  }

  private addresses({ host, region }: DirectoryQuery): string[] {
    const { table, timers, callersAddress, phase, random, residencyOf } = this.deps;
    const [ip = '', port] = callersAddress.split(':');
    const self = { node: this.deps.node, region: this.deps.region, ip, phase: phase() };
    const all = [self, ...table.alive(timers.now())];
    const residency = residencyOf(host);
    const choice = chooseGateways(all, region, residency.allowedRegions);
    this.logChange(host, region, choice, residency);
    return sampleItems(choice.gateways, MAX_ADDRESSES, random).map(
      (gateway) => `${gateway.ip}:${port}`,
    );
  }

  /** Logs a response when it differs from the one before for the region and host in kind or size. */
  private logChange(
    host: string,
    region: string,
    { group, gateways }: DirectoryChoice,
    { restrictedRoutes, allowedRegions }: HostResidency,
  ): void {
    const key = `${region} ${host}`;
    const ready = gateways.filter(({ phase }) => phase === GatewayPhase.Ready).length;
    const local = gateways.filter((gateway) => gateway.region === region).length;
    const outline = `${group} ${gateways.length} ${ready} ${local}`;
    if (this.lastResponses.get(key) === outline) return;
    if (this.lastResponses.size >= MAX_REMEMBERED_RESPONSES) this.lastResponses.clear();
    this.lastResponses.set(key, outline);
    this.deps.log.info('directory response changed', {
      host,
      region,
      group,
      gateways: gateways.length,
      ready,
      local,
      restricted: restrictedRoutes,
      allowed: allowedRegions.length,
      config: this.deps.configVersion(),
      oldest_ms: this.oldestBeliefMs(),
    });
  }

  /** Time since the gateway that has been silent for longest last told its phase, ms. */
  private oldestBeliefMs(): number {
    const { table, timers } = this.deps;
    const now = timers.now();
    const ages = table.alive(now).map(({ node }) => table.ageMs(node, now));
    return Math.round(Math.max(0, ...ages));
  }
}
