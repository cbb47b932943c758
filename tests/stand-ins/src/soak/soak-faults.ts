/** Injects the random faults of a soak. Each lasts for a while and is then removed; faults overlap. */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '@marjoramcart/core';
import { exampleConfig } from '../users-platform/example-config.js';
import { TargetMode } from '../users-platform/target.js';
import type { SoakGateway, SoakLink, SoakFleet, SoakTarget } from './soak-fleet.js';

/** An injected fault, for the checks and the printed result. */
export interface SoakFault {
  readonly kind: string;
  readonly at: number;
  /** When the fault was removed; `Infinity` while it lasts. Unix ms. */
  endedAt: number;
  /** Affected gateway, target, store, zone, link or configuration version; `none` if not injected. */
  readonly component: string;
}

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 2500;
const LINK_DELAY_MS = 150;
/** A draining target keeps serving for this long, as on the users' platform. */
const DRAIN_MS = 4000;
const EVACUATION_MS = 1500;
/** Gateways must exit within this time after SIGTERM. */
const TERMINATE_TIMEOUT_MS = 8000;

type FaultAction = (fleet: SoakFleet, random: RandomSource) => Promise<string>;

export class SoakFaults {
  readonly injected: SoakFault[] = [];

  /** Exits of gateways after SIGTERM. */
  readonly exits: { readonly node: string; readonly code: number | null }[] = [];

  private readonly busy = new Set<string>();

  private readonly actions: readonly (readonly [string, FaultAction])[];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: RandomSource,
  ) {
    const modes = Object.values(TargetMode).filter((mode) => mode !== TargetMode.Good);
    this.actions = [
      ...modes.map((mode) => [`target ${mode}`, () => this.targetMode(mode)] as const),
      ['target link slow', () => this.linkFault(this.target().link, slow)],
      ['target link silent', () => this.linkFault(this.target().link, blocked)],
      ['target link cut one way', () => this.linkFault(this.target().link, oneWay)],
      ['target link reset', () => this.reset(this.target().link)],
      ['store link slow', () => this.linkFault(this.gateway().storeLink, slow)],
      ['store link silent', () => this.linkFault(this.gateway().storeLink, blocked)],
      ['store link reset', () => this.reset(this.gateway().storeLink)],
      ['store refuses', () => this.storeRefuses()],
      ['store compacts', () => this.changeStore(() => this.fleet.store.compact())],
      ['gateway killed', () => this.kill()],
      ['gateway frozen', () => this.freeze()],
      ['gateway terminated', () => this.terminate()],
      ['settings reloaded', () => this.reloadSettings()],
      ['target replaced', () => this.replace()],
      ['target drains', () => this.drain()],
      ['domain evacuated', () => this.evacuate()],
      ['configuration changed', () => this.changeConfig()],
    ];
  }

  /** Injects faults until `untilMs` (Unix ms), then waits until all have been removed. */
  async run(untilMs: number, pauseMs: number): Promise<void> {
    const running: Promise<void>[] = [];
    while (Date.now() < untilMs) {
      running.push(this.inject());
      // Faults overlap because the pause is shorter than most of them.
      // eslint-disable-next-line no-await-in-loop
      await delay(pauseMs * (0.5 + this.random.next()));
    }
    await Promise.all(running);
  }

  private async inject(): Promise<void> {
    const [kind, action] = pick(this.actions, this.random);
    const fault: SoakFault = { kind, at: Date.now(), endedAt: Infinity, component: '' };
    this.injected.push(fault);
    const component = await action(this.fleet, this.random);
    Object.assign(fault, { endedAt: Date.now(), component });
  }

  private gateway(): SoakGateway {
    return pick(this.fleet.gateways, this.random);
  }

  private target(): SoakTarget {
    return pick(this.fleet.targets, this.random);
  }

  private waitFaultDuration(): Promise<void> {
    return delay(MIN_FAULT_MS + this.random.next() * (MAX_FAULT_MS - MIN_FAULT_MS));
  }

  private async targetMode(mode: TargetMode): Promise<string> {
    const { standIn } = this.target();
    standIn.mode = mode;
    await this.waitFaultDuration();
    standIn.mode = TargetMode.Good;
    return standIn.id;
  }

  private async linkFault(link: SoakLink, fault: (link: SoakLink, on: boolean) => void) {
    fault(link, true);
    await this.waitFaultDuration();
    fault(link, false);
    // Bytes held back by the link belong to requests that both sides have abandoned.
    link.proxy.reset();
    return link.proxy.options.target;
  }

  private reset({ proxy }: SoakLink): Promise<string> {
    proxy.reset();
    return Promise.resolve(proxy.options.target);
  }

  private async storeRefuses(): Promise<string> {
    this.fleet.store.failureStatus = pick([503, 429, 0], this.random);
    await this.waitFaultDuration();
    this.fleet.store.failureStatus = undefined;
    return 'store';
  }

  private changeStore(action: () => void): Promise<string> {
    action();
    return Promise.resolve('store');
  }

  /** Runs an action on a random gateway, unless another fault already affects it. */
  private async onGateway(action: (gateway: SoakGateway) => Promise<void>): Promise<string> {
    const gateway = this.gateway();
    if (this.busy.has(gateway.node)) return 'none';
    this.busy.add(gateway.node);
    await action(gateway);
    this.busy.delete(gateway.node);
    return gateway.node;
  }

  private kill(): Promise<string> {
    return this.onGateway(async ({ process }) => {
      await process.kill();
      await this.waitFaultDuration();
      process.start();
    });
  }

  private freeze(): Promise<string> {
    return this.onGateway(async ({ process }) => {
      process.freeze();
      await this.waitFaultDuration();
      process.thaw();
    });
  }

  private terminate(): Promise<string> {
    return this.onGateway(async ({ node, process }) => {
      const { code } = await process.terminate(TERMINATE_TIMEOUT_MS);
      this.exits.push({ node, code });
      process.start();
    });
  }

  private reloadSettings(): Promise<string> {
    return this.onGateway(async (gateway) => {
      // A starting process has no SIGHUP handler yet, and the signal would end it.
      if (await this.fleet.statusOf(gateway)) gateway.process.signal('SIGHUP');
    });
  }

  private async replace(): Promise<string> {
    const target = this.target();
    if (this.busy.has(target.address)) return 'none';
    this.busy.add(target.address);
    await this.fleet.replaceTarget(target);
    this.busy.delete(target.address);
    return target.standIn.id;
  }

  private async drain(): Promise<string> {
    const target = this.target();
    if (this.busy.has(target.address)) return 'none';
    this.busy.add(target.address);
    const { id } = target.standIn;
    target.drainingAt = Date.now();
    this.fleet.putTarget(target, { state: 'draining' });
    await delay(DRAIN_MS);
    await this.fleet.replaceTarget(target);
    target.drainingAt = undefined;
    this.busy.delete(target.address);
    return id;
  }

  private async evacuate(): Promise<string> {
    const zone = pick(['north-a', 'west-a'], this.random);
    this.fleet.store.put(`op/evacuate/${zone}`, {});
    await delay(EVACUATION_MS);
    this.fleet.store.delete(`op/evacuate/${zone}`);
    return zone;
  }

  private changeConfig(): Promise<string> {
    this.fleet.configVersion += 1 + Math.floor(this.random.next() * 3);
    this.fleet.store.put('op/config', exampleConfig(this.fleet.configVersion));
    return Promise.resolve(`version ${this.fleet.configVersion}`);
  }
}

function slow({ forward, backward }: SoakLink, on: boolean): void {
  [forward, backward].forEach((flow) => flow.change({ delay_ms: on ? LINK_DELAY_MS : 0 }));
}

function blocked({ forward, backward }: SoakLink, on: boolean): void {
  [forward, backward].forEach((flow) => flow.change({ cut: on }));
}

function oneWay({ backward }: SoakLink, on: boolean): void {
  backward.change({ cut: on });
}

function pick<Value>(values: readonly Value[], random: RandomSource): Value {
  return values[Math.floor(random.next() * values.length)] as Value;
}
