/** Polls the revisions that daemons report and that callers see in responses. */
import { setTimeout as delay } from 'node:timers/promises';
import { request, type ControlPlan, type EntryPlan } from '@marjoramcart/stand-ins';
import type { GatewayWorld } from './world.js';

const SAMPLE_INTERVAL_MS = 100;

/** One observation; those of the same source are in order. */
export interface Sample {
  /** Name of the daemon, or `caller of NAME` for a caller of it. */
  readonly source: string;
  readonly daemon: string;
  readonly vm: string;
  readonly bootId: string;
  /** When the response arrived, Unix ms. */
  readonly at: number;
  readonly ready: boolean;
  readonly revision: number;
}

interface DaemonStatus {
  readonly control?: { readonly bootId: string };
  readonly process?: { readonly bootId: string };
  readonly control_lost?: boolean;
  readonly revision: number;
  readonly rejected?: { readonly revision: number; readonly message: string };
}

export class RevisionObserver {
  readonly samples: Sample[] = [];

  /** Pending watches of the configuration service. */
  readonly watches: { readonly at: number; readonly count: number }[] = [];

  private stopped = false;

  private loops: Promise<void>[] = [];

  constructor(private readonly world: GatewayWorld) {}

  start(): void {
    const { controls, entries } = this.world.fleet.layout;
    this.loops = [
      ...[...controls, ...entries].map((plan) => this.repeat(() => this.sampleDaemon(plan))),
      ...entries.map((plan) => this.repeat(() => this.sampleAsCaller(plan))),
      this.repeat(() => this.countWatches()),
    ];
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
    const { controls, entries } = this.world.fleet.layout;
    // Takes a last sample of each daemon.
    await Promise.allSettled([...controls, ...entries].map((plan) => this.sampleDaemon(plan)));
  }

  private async repeat(sample: () => Promise<void>): Promise<void> {
    if (this.stopped) return;
    // A daemon that has ended or is frozen gives no sample.
    await sample().catch(() => undefined);
    await delay(SAMPLE_INTERVAL_MS);
    await this.repeat(sample);
  }

  private async sampleDaemon(plan: ControlPlan | EntryPlan): Promise<void> {
    const ready = (await request('GET', `http://${plan.admin}/readyz`)).status === 200;
    const status = await daemonStatus(plan);
    const bootId = (status.control ?? status.process)?.bootId ?? '';
    this.add(plan, plan.name, { bootId, ready, revision: status.revision });
  }

  private async sampleAsCaller(plan: EntryPlan): Promise<void> {
    const call = { method: 'GET', path: '/v1/entries' };
    const { headers, status } = await this.world.caller('tent-crew').call(plan.callers, call);
    if (status !== 200) return;
    this.add(plan, `caller of ${plan.name}`, {
      bootId: String(headers['marjoramcart-entry']),
      ready: true,
      revision: Number(headers['marjoramcart-revision']),
    });
  }

  private async countWatches(): Promise<void> {
    const { pending_watches: count = 0 } = await this.world.fleet.platformCalls();
    this.watches.push({ at: Date.now(), count });
  }

  private add(
    { name: daemon, vm }: ControlPlan | EntryPlan,
    source: string,
    seen: Pick<Sample, 'bootId' | 'ready' | 'revision'>,
  ): void {
    this.samples.push({ source, daemon, vm, at: Date.now(), ...seen });
  }
}

/** `/status` of a daemon. */
export async function daemonStatus({ admin }: { admin: string }): Promise<DaemonStatus> {
  const { text } = await request('GET', `http://${admin}/status`);
  return JSON.parse(text) as DaemonStatus;
}
