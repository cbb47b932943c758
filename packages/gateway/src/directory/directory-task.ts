/** Task that serves the directory of gateways to callers and the readiness check to the platform. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  GatewayPhase,
  sampleItems,
  type DirectoryChoice,
  type HostResidency,
  type RandomSource,
} from '@marjoramcart/core';
import {
  HttpListener,
  ignoreBody,
  type ConnectionShare,
  type Logger,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import type { DirectoryProtocol, DirectoryQuery } from '../ports/request-protocol.js';
import type { GatewayDirectory } from './gateway-directory.js';

/** Limit of gateway addresses in a response; of more gateways, each response names others. */
const MAX_ADDRESSES = 64;
/** Limit of the responses that are kept for comparison, so that only changes are logged. */
const MAX_REMEMBERED_RESPONSES = 64;

export interface DirectoryTaskDeps {
  /** `ip:port` of the directory and of the readiness check; equal when one listener serves both. */
  readonly directoryAddress: string;
  readonly readyAddress: string;
  /** Connections of each listener, by its address. */
  readonly connections?: Readonly<Record<string, ConnectionShare>>;
  /** Port at which callers reach gateways; the same on all VMs. */
  readonly callersPort: number;
  readonly ttlS: number;
  readonly protocol: DirectoryProtocol;
  readonly directory: GatewayDirectory;
  readonly phase: () => GatewayPhase;
  readonly random: RandomSource;
  readonly residencyOf: (host: string) => HostResidency;
  readonly configVersion: () => number;
  readonly timers?: Pick<TimerService, 'after'>;
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
          ...(deps.connections ? { connections: deps.connections[address] } : {}),
          log: deps.log,
          ...(deps.timers ? { timers: deps.timers } : {}),
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
    ignoreBody(req, res);
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
    const { gateways } = this.choose(query);
    if (gateways.length === 0) {
      res.writeHead(503, { 'content-length': 0 }).end();
      return;
    }
    const { callersPort, ttlS, random } = this.deps;
    const addresses = sampleItems(gateways, MAX_ADDRESSES, random).map(
      ({ ip }) => `${ip}:${callersPort}`,
    );
    const body = protocol.encodeResponse(addresses, ttlS);
    res
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  }

  private choose({ host, region }: DirectoryQuery): DirectoryChoice {
    const choice = this.deps.directory.choose({ host, region });
    this.logChange(host, region, choice);
    return choice;
  }

  /** Logs a response when it differs from the one before for the region and host in kind or size. */
  private logChange(host: string, region: string, { group, gateways }: DirectoryChoice): void {
    const key = `${region} ${host}`;
    const ready = gateways.filter(({ phase }) => phase === GatewayPhase.Ready).length;
    const local = gateways.filter((gateway) => gateway.region === region).length;
    const outline = `${group} ${gateways.length} ${ready} ${local}`;
    if (this.lastResponses.get(key) === outline) return;
    if (this.lastResponses.size >= MAX_REMEMBERED_RESPONSES) this.lastResponses.clear();
    this.lastResponses.set(key, outline);
    const { directory, residencyOf, configVersion, log } = this.deps;
    const { restrictedRoutes, regions } = residencyOf(host);
    log.info('directory response changed', {
      host,
      region,
      group,
      gateways: gateways.length,
      ready,
      local,
      restricted: restrictedRoutes,
      allowed: regions.kind === 'any' ? 'any' : regions.regions.length,
      config: configVersion(),
      oldest_ms: Math.round(directory.oldestBeliefMs()),
    });
  }
}
