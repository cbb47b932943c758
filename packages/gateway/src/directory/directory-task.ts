/** Tasks that tell callers which gateways to use, and the platform whether this one is ready. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  chooseGateways,
  GatewayPhase,
  type GatewayTable,
  type ListedGateway,
} from '@marjoramcart/core';
import { HttpListener, type Logger, type Task, type TimerService } from '@marjoramcart/runtime';
import type { DirectoryProtocol, DirectoryQuery } from '../ports/request-protocol.js';

const MAX_ADDRESSES = 64;
/** Answers that are remembered to log only what changes. */
const MAX_NOTED = 64;

export interface DirectoryTaskDeps {
  /** `ip:port` each; equal when one listener serves both. */
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
  /** Regions that the routes of a host may run in; empty when all may. */
  readonly allowedRegions: (host: string) => readonly string[];
  readonly timers: TimerService;
  readonly log: Logger;
}

export class DirectoryTask implements Task {
  readonly name = 'directory';

  private readonly listeners: HttpListener[];

  /** Last answer by region and host. */
  private readonly noted = new Map<string, string>();

  constructor(private readonly parts: DirectoryTaskDeps) {
    const addresses = new Set([parts.directoryAddress, parts.readyAddress]);
    this.listeners = [...addresses].map(
      (address) =>
        new HttpListener({
          address,
          handler: (req, res) => this.handle(req, res),
          onError: (err) => parts.log.error('request failed', { err }),
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
    const { protocol, phase } = this.parts;
    req.resume();
    if (protocol.isReadyCheck(req)) {
      const ready = phase() === GatewayPhase.Ready;
      res.writeHead(ready ? 200 : 503, { 'content-length': 0 }).end();
      return;
    }
    const query = protocol.readQuery(req);
    // A gateway that starts does not know the others yet, so callers ask another one.
    if (!query || phase() === GatewayPhase.Starting) {
      res.writeHead(query ? 503 : 404, { 'content-length': 0 }).end();
      return;
    }
    const body = protocol.encodeResponse(this.addresses(query), this.parts.ttlS);
    res
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  }

  private addresses({ host, region }: DirectoryQuery): string[] {
    const { table, timers, callersAddress, phase, allowedRegions } = this.parts;
    const [ip = '', port] = callersAddress.split(':');
    const own = { node: this.parts.node, region: this.parts.region, ip, phase: phase() };
    const all = [own, ...table.alive(timers.now())];
    const chosen = chooseGateways(all, region, allowedRegions(host)).slice(0, MAX_ADDRESSES);
    this.note(host, region, chosen);
    return chosen.map((gateway) => `${gateway.ip}:${port}`);
  }

  /** Logs an answer that differs from the one before. */
  private note(host: string, region: string, chosen: readonly ListedGateway[]): void {
    const key = `${region} ${host}`;
    const nodes = chosen.map(({ node, phase }) => `${node} ${phase}`).join(', ');
    if (this.noted.get(key) === nodes) return;
    if (this.noted.size >= MAX_NOTED) this.noted.clear();
    this.noted.set(key, nodes);
    this.parts.log.info('directory answer changed', { host, region, gateways: nodes });
  }
}
