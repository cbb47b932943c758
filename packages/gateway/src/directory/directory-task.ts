/** Tasks that tell callers which gateways to use, and the platform whether this one is ready. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { GatewayPhase, type GatewayTable } from '@marjoramcart/core';
import { HttpListener, type Logger, type Task, type TimerService } from '@marjoramcart/runtime';
import type { DirectoryProtocol, DirectoryQuery } from '../ports/request-protocol.js';

const MAX_ADDRESSES = 64;

export interface DirectoryParts {
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
  readonly timers: TimerService;
  readonly log: Logger;
}

export class DirectoryTask implements Task {
  readonly name = 'directory';

  private readonly listeners: HttpListener[];

  constructor(private readonly parts: DirectoryParts) {
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
    const body = protocol.answer(this.addresses(query), this.parts.ttlS);
    res
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  }

  /**
   * Ready gateways of the caller's region. Without any, those of the region that drain and still
   * take requests, since a request that is bound to the region must not leave it; then all others.
   */
  private addresses(query: DirectoryQuery): string[] {
    const { table, timers, node, region, callersAddress, phase } = this.parts;
    const [ip, port] = callersAddress.split(':');
    const own = { node, region, ip: ip ?? '', phase: phase() };
    const all = [own, ...table.alive(timers.now())];
    const inPhase = (wanted: GatewayPhase): typeof all =>
      all.filter((gateway) => gateway.phase === wanted);
    const isNear = (gateway: { region: string }): boolean => gateway.region === query.region;
    const ready = inPhase(GatewayPhase.Ready);
    const draining = inPhase(GatewayPhase.Draining);
    const choices = [ready.filter(isNear), draining.filter(isNear), ready, draining, all];
    const chosen = choices.find((list) => list.length > 0) ?? [];
    return chosen.slice(0, MAX_ADDRESSES).map((gateway) => `${gateway.ip}:${port}`);
  }
}
