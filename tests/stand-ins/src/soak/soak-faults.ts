/** Faults of a soak: each begins, lasts for a while and is healed; several overlap. */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '@marjoramcart/core';
import { exampleConfig } from '../users-platform/example-config.js';
import { TargetMode } from '../users-platform/target.js';
import type { SoakGateway, SoakLink, SoakFleet, SoakTarget } from './soak-rig.js';

/** A fault that was injected, as the verdict and the report need it. */
export interface SoakFault {
  readonly kind: string;
  readonly at: number;
  /** Set when it is healed. */
  endedAt: number;
  /** Gateway or target. */
  readonly component: string;
}

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 2500;
const DELAY_MS = 150;
/** A target that drains goes on serving for this long, as the platform's do. */
const DRAIN_MS = 4000;
const EVACUATE_MS = 1500;
/** Gateways end within this time of SIGTERM. */
const GRACE_MS = 8000;

type FaultAction = (rig: SoakFleet, random: RandomSource) => Promise<string>;

export class SoakFaults {
  readonly injected: SoakFault[] = [];

  /** Exits of gateways that were asked to end. */
  readonly exits: { readonly node: string; readonly code: number | null }[] = [];

  private readonly busy = new Set<string>();

  private readonly actions: readonly (readonly [string, FaultAction])[];

  constructor(
    private readonly rig: SoakFleet,
    private readonly random: RandomSource,
  ) {
    const modes = Object.values(TargetMode).filter((mode) => mode !== TargetMode.Good);
    this.actions = [
      ...modes.map((mode) => [`target ${mode}`, () => this.targetMode(mode)] as const),
      ['target link slow', () => this.linkFault(this.target().link, slow)],
      ['target link silent', () => this.linkFault(this.target().link, silent)],
      ['target link one way', () => this.linkFault(this.target().link, oneWay)],
      ['target link reset', () => this.reset(this.target().link)],
      ['store link slow', () => this.linkFault(this.gateway().store, slow)],
      ['store link silent', () => this.linkFault(this.gateway().store, silent)],
      ['store link reset', () => this.reset(this.gateway().store)],
      ['store refuses', () => this.storeRefuses()],
      ['store compacts', () => this.instantly(() => this.rig.store.compact())],
      ['gateway killed', () => this.kill()],
      ['gateway frozen', () => this.freeze()],
      ['gateway told to end', () => this.terminate()],
      ['settings reloaded', () => this.hangUp()],
      ['target replaced', () => this.replace()],
      ['target drains', () => this.drain()],
      ['domain evacuated', () => this.evacuate()],
      ['configuration changed', () => this.changeConfig()],
    ];
  }

  /** Injects faults until a time, and waits until all are healed. */
  async run(untilMs: number, pauseMs: number): Promise<void> {
    const running: Promise<void>[] = [];
    while (Date.now() < untilMs) {
      running.push(this.inject());
      // Faults overlap, since the pause is shorter than most of them.
      // eslint-disable-next-line no-await-in-loop
      await delay(pauseMs * (0.5 + this.random.next()));
    }
    await Promise.all(running);
  }

  private async inject(): Promise<void> {
    const [kind, action] = pick(this.actions, this.random);
    const fault: SoakFault = { kind, at: Date.now(), endedAt: Infinity, component: '' };
    this.injected.push(fault);
    const where = await action(this.rig, this.random);
    Object.assign(fault, { endedAt: Date.now(), where });
  }

  private gateway(): SoakGateway {
    return pick(this.rig.gateways, this.random);
  }

  private target(): SoakTarget {
    return pick(this.rig.targets, this.random);
  }

  private lasts(): Promise<void> {
    return delay(MIN_FAULT_MS + this.random.next() * (MAX_FAULT_MS - MIN_FAULT_MS));
  }

  private async targetMode(mode: TargetMode): Promise<string> {
    const { standIn } = this.target();
    standIn.mode = mode;
    await this.lasts();
    standIn.mode = TargetMode.Good;
    return standIn.id;
  }

  private async linkFault(link: SoakLink, fault: (link: SoakLink, on: boolean) => void) {
    fault(link, true);
    await this.lasts();
    fault(link, false);
    // Bytes that were held belong to exchanges that both sides have given up.
    link.link.reset();
    return link.link.options.target;
  }

  private reset({ link }: SoakLink): Promise<string> {
    link.reset();
    return Promise.resolve(link.options.target);
  }

  private async storeRefuses(): Promise<string> {
    this.rig.store.failureStatus = pick([503, 429, 0], this.random);
    await this.lasts();
    this.rig.store.failureStatus = undefined;
    return 'store';
  }

  private instantly(action: () => void): Promise<string> {
    action();
    return Promise.resolve('store');
  }

  /** Runs an action on a gateway that no other fault holds. */
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
      await this.lasts();
      process.start();
    });
  }

  private freeze(): Promise<string> {
    return this.onGateway(async ({ process }) => {
      process.freeze();
      await this.lasts();
      process.thaw();
    });
  }

  private terminate(): Promise<string> {
    return this.onGateway(async ({ node, process }) => {
      const { code } = await process.terminate(GRACE_MS);
      this.exits.push({ node, code });
      process.start();
    });
  }

  private hangUp(): Promise<string> {
    return this.onGateway(async (gateway) => {
      // A process that starts has no handler of the signal yet.
      if (await this.rig.statusOf(gateway)) gateway.process.signal('SIGHUP');
    });
  }

  private async replace(): Promise<string> {
    const target = this.target();
    if (this.busy.has(target.address)) return 'none';
    this.busy.add(target.address);
    await this.rig.replaceTarget(target);
    this.busy.delete(target.address);
    return target.standIn.id;
  }

  private async drain(): Promise<string> {
    const target = this.target();
    if (this.busy.has(target.address)) return 'none';
    this.busy.add(target.address);
    const { id } = target.standIn;
    target.drainingAt = Date.now();
    this.rig.putTarget(target, { state: 'draining' });
    await delay(DRAIN_MS);
    await this.rig.replaceTarget(target);
    target.drainingAt = undefined;
    this.busy.delete(target.address);
    return id;
  }

  private async evacuate(): Promise<string> {
    const zone = pick(['north-a', 'west-a'], this.random);
    this.rig.store.put(`op/evacuate/${zone}`, {});
    await delay(EVACUATE_MS);
    this.rig.store.delete(`op/evacuate/${zone}`);
    return zone;
  }

  private changeConfig(): Promise<string> {
    this.rig.configVersion += 1 + Math.floor(this.random.next() * 3);
    this.rig.store.put('op/config', exampleConfig(this.rig.configVersion));
    return Promise.resolve(`version ${this.rig.configVersion}`);
  }
}

function slow({ forward: forth, backward: back }: SoakLink, on: boolean): void {
  [forth, back].forEach((flow) => flow.change({ delay_ms: on ? DELAY_MS : 0 }));
}

function silent({ forward: forth, backward: back }: SoakLink, on: boolean): void {
  [forth, back].forEach((flow) => flow.change({ cut: on }));
}

function oneWay({ backward: back }: SoakLink, on: boolean): void {
  back.change({ cut: on });
}

function pick<Value>(values: readonly Value[], random: RandomSource): Value {
  return values[Math.floor(random.next() * values.length)] as Value;
}
