/** One soak: a fleet, callers and faults for some seconds, then the verdict. */
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';
import { seededRandom } from '@marjoramcart/core';
import { PortOffset } from '../users-platform/example-config.js';
import type { TargetStandIn } from '../users-platform/target.js';
import { RequestKind, SoakCallers, type SoakRequest } from './soak-callers.js';
import { SoakFaults, type SoakFault } from './soak-faults.js';
import { SoakFleet } from './soak-rig.js';
import { checkRequests, type RunOnTarget, type Violation } from './soak-verdict.js';

export interface SoakOptions {
  readonly seed: number;
  /** How long faults are injected, ms. */
  readonly faultsMs: number;
  /** First of a hundred free ports on loopback addresses. */
  readonly basePort: number;
}

export interface SoakResult {
  readonly requests: number;
  /** Requests that were answered with success. */
  readonly served: number;
  readonly faults: readonly SoakFault[];
  readonly violations: readonly Violation[];
  /** Logs of the gateways. */
  readonly folder: string;
}

const FAULT_PAUSE_MS = 450;
const STATUS_MS = 200;
/** After the last fault everything is served within this time. */
const RECOVERY_MS = 5000;
const FINAL_ROUNDS = 3;
/** No new request reaches a target later than this after its entry showed it draining. */
const DRAIN_BOUND_MS = 3000;
const STOPPING_KINDS = ['gateway killed', 'gateway frozen', 'gateway told to end'];

/** Runs a fleet of separate processes through random faults; the same seed draws the same ones. */
export async function runSoak({ seed, faultsMs, basePort }: SoakOptions): Promise<SoakResult> {
  const folder = `${tmpdir()}/marjoramcart-soak-${basePort}-${seed}`;
  const rig = new SoakFleet(basePort, folder);
  const callers = new SoakCallers(rig, seededRandom(seed + 1));
  const faults = new SoakFaults(rig, seededRandom(seed));
  const versions = new ConfigWatch(rig);
  try {
    await rig.start();
    const calling = callers.run();
    const watching = versions.run();
    await faults.run(Date.now() + faultsMs, FAULT_PAUSE_MS);
    callers.stop();
    await calling;
    const unserved = await finalRounds(rig, callers);
    versions.stop();
    await watching;
    const violations = [
      ...unserved,
      ...versions.violations,
      ...judgeExits(faults),
      ...judgeDrains(rig, faults.injected),
      ...judge(rig, callers.requests, faults.injected),
    ];
    const served = callers.requests.filter(({ response: answer }) => answer?.status === 200).length;
    const requests = callers.requests.length;
    return { requests, served, faults: faults.injected, violations, folder };
  } finally {
    callers.stop();
    versions.stop();
    await rig.stop();
  }
}

/** Watches that no gateway goes back to an older configuration. */
class ConfigWatch {
  readonly violations: Violation[] = [];

  private readonly highest = new Map<number, number>();

  private stopped = false;

  constructor(private readonly rig: SoakFleet) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    await Promise.all(this.rig.gateways.map((gateway) => this.watch(gateway)));
  }

  /* eslint-disable no-await-in-loop */
  private async watch(gateway: SoakFleet['gateways'][number]): Promise<void> {
    while (!this.stopped) {
      const { pid } = gateway.process;
      const status = await Promise.race([this.rig.statusOf(gateway), delay(1000)]);
      if (status && pid !== undefined && pid === gateway.process.pid) {
        const known = this.highest.get(pid) ?? 0;
        if (status.config < known) {
          const detail = `${gateway.node} went from version ${known} to ${status.config}`;
          this.violations.push({ guarantee: 'the configuration never goes back', detail });
        }
        this.highest.set(pid, Math.max(known, status.config));
      }
      await delay(STATUS_MS);
    }
  }
  /* eslint-enable no-await-in-loop */
}

/** Every kind is served by every gateway once the faults are over. */
async function finalRounds(rig: SoakFleet, callers: SoakCallers): Promise<Violation[]> {
  await Promise.all(rig.gateways.map((gateway) => rig.untilReady(gateway)));
  await delay(RECOVERY_MS);
  const rounds = Array.from({ length: FINAL_ROUNDS }, () => Object.values(RequestKind)).flat();
  const sent = await Promise.all(
    rig.gateways.flatMap(({ ip }) =>
      rounds.map((kind) => callers.send(kind, `${ip}:${rig.basePort + PortOffset.Callers}`)),
    ),
  );
  return sent
    .filter(({ aborted: left, response: answer }) => !left && answer?.status !== 200)
    .map(({ id, kind, address, response: answer }) => ({
      promise: 'all is served after the faults',
      detail: `${id} (${kind}) at ${address} answered ${answer?.status ?? 'nothing'}: ${answer?.body ?? ''}`,
    }));
}

function judge(
  rig: SoakFleet,
  requests: readonly SoakRequest[],
  faults: readonly SoakFault[],
): Violation[] {
  const runs = new Map<string, RunOnTarget[]>();
  rig.allTargets.forEach((target) =>
    target.runs.forEach((run) => {
      runs.set(run.requestId, [...(runs.get(run.requestId) ?? []), { target, run }]);
    }),
  );
  const zones = new Map<string, string>(rig.targets.map(({ address, zone }) => [address, zone]));
  const nodes = new Map(
    rig.gateways.map(({ node, ip }) => [`${ip}:${rig.basePort + PortOffset.Callers}`, node]),
  );
  const stopped = faults.filter(({ kind }) => STOPPING_KINDS.includes(kind));
  return checkRequests(
    requests,
    (id) => runs.get(id) ?? [],
    (target: TargetStandIn) => zones.get(target.address) ?? '',
    (address, from, to) =>
      stopped.some(
        ({ component: where, at, endedAt }) => where === nodes.get(address) && at <= to && endedAt >= from,
      ),
  );
}

function judgeExits({ exits }: SoakFaults): Violation[] {
  return exits
    .filter(({ code }) => code !== 0)
    .map(({ node, code }) => ({
      promise: 'a gateway that is told to end ends by itself',
      detail: `${node} exited with ${code}`,
    }));
}

/** Only drains that no fault of the store or of a gateway overlapped. */
function judgeDrains(rig: SoakFleet, faults: readonly SoakFault[]): Violation[] {
  const drains = faults.filter(({ kind, component: where }) => kind === 'target drains' && where !== 'none');
  const others = faults.filter(({ kind }) => /store|gateway/.test(kind));
  return drains
    .filter(
      ({ at }) => !others.some((other) => other.at < at + DRAIN_BOUND_MS && other.endedAt > at),
    )
    .flatMap(({ at, component: where }) => {
      const target = rig.allTargets.find(({ id }) => id === where);
      const late = target?.runs.filter(({ startedAt }) => startedAt > at + DRAIN_BOUND_MS) ?? [];
      return late.map(({ requestId, startedAt }) => ({
        promise: 'a target that leaves receives no new work',
        detail: `${requestId} reached ${where} ${startedAt - at} ms after it began to drain`,
      }));
    });
}
