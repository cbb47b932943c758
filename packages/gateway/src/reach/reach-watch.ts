/**
 * Task that finds out whether this gateway reaches any target of its region. When a connection to a
 * target fails, or no target sends anything while requests are in flight, it opens connections to some
 * targets; if none accepts one, the gateway's own links are lost. It goes on until one does.
 */
import {
  ProbeVerdict,
  chooseProbed,
  verdictOf,
  type OwnReach,
  type RandomSource,
  type TargetRecord,
} from '@marjoramcart/core';
import type { ConnectionProbe, Logger, Task, TimerService } from '@marjoramcart/runtime';
import type { TargetEntry } from '../state/target-entry.js';

const TICK_MS = 250;
/** Targets that are probed at first. */
const FIRST_PROBED = 2;
/** Targets that are probed at a time for the return of the links. */
const MAX_PROBED = 6;
/** Targets that are probed before the links count as lost; a few may be down for reasons of their own. */
const MAX_CONFIRMING = 48;
/** Two round trips within a region, with room for a busy target. */
const PROBE_TIMEOUT_MS = 400;
/** A failure soon after the end of a probe leads to no other one. */
const VERDICT_LIFETIME_MS = 100;
/** All targets with requests being silent for this time is a sign that they are out of reach. */
const SILENCE_MS = 500;
/** Least time between two probes because of silence. */
const SILENT_PROBE_INTERVAL_MS = 1000;

interface ProbeResult {
  readonly verdict: ProbeVerdict;
  readonly results: readonly ConnectionProbe[];
  readonly tookMs: number;
}

export interface ReachWatchDeps {
  /** Targets of the region that may get requests. */
  readonly targets: () => readonly TargetEntry[];
  readonly probe: (address: string, timeoutMs: number) => Promise<ConnectionProbe>;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: Logger;
  /** Called after `isCutOff` has changed. */
  readonly onChange: (isCutOff: boolean) => void;
}

export class ReachWatch implements Task {
  readonly name = 'reach';

  private lostAt: number | undefined;

  private cut: OwnReach['lastCut'];

  private running: Promise<void> | undefined;

  /** Targets of the last probe. */
  private asked = 0;

  /** When the last probe ended, monotonic ms. */
  private probedAt = -Infinity;

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: ReachWatchDeps) {}

  /** Whether this gateway reaches no target of its region. */
  get isCutOff(): boolean {
    return this.lostAt !== undefined;
  }

  /** End of the last cut, monotonic ms, and its duration; undefined if there was none. */
  get lastCut(): OwnReach['lastCut'] {
    return this.cut;
  }

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(TICK_MS, () => this.tick());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /**
   * Handles a failed connection to a target.
   *
   * @returns whether this gateway reaches none of several targets, so that the failure says nothing
   *   about this one
   * @example if (!(await reach.onFailure())) announceUnreachable(target)
   */
  async onFailure(): Promise<boolean> {
    const { timers } = this.deps;
    if (this.running || timers.now() - this.probedAt >= VERDICT_LIFETIME_MS) await this.probe();
    return this.isCutOff && this.asked > 1;
  }

  private tick(): void {
    const sinceProbeMs = this.deps.timers.now() - this.probedAt;
    if (this.isCutOff || (sinceProbeMs >= SILENT_PROBE_INTERVAL_MS && this.isSilent())) {
      void this.probe();
    }
  }

  /** Whether no target with requests of this gateway has sent anything for some time. */
  private isSilent(): boolean {
    const now = this.deps.timers.now();
    const used = this.deps.targets().filter(({ work }) => work.localWork.requests > 0);
    return used.length > 0 && used.every((entry) => entry.silentForMs(now) >= SILENCE_MS);
  }

  private probe(): Promise<void> {
    this.running ??= this.probeSome().finally(() => {
      this.running = undefined;
      this.probedAt = this.deps.timers.now();
    });
    return this.running;
  }

  private async probeSome(): Promise<void> {
    const { targets, random } = this.deps;
    const records = targets().map(({ record }) => record);
    const chosen = chooseProbed(records, this.isCutOff ? MAX_PROBED : MAX_CONFIRMING, random);
    this.asked = chosen.length;
    const first = this.isCutOff ? chosen : chosen.slice(0, FIRST_PROBED);
    const probed = await this.probeAll(first);
    const others = chosen.slice(first.length);
    if (probed.verdict !== ProbeVerdict.CutOff || others.length === 0) {
      this.apply(probed);
      return;
    }
    const confirmed = await this.probeAll(others);
    // A single other one is not too few, as none of the first ones accepted a connection.
    const isAlone = others.length === 1 && !confirmed.results.includes('accepted');
    this.apply(isAlone ? probed : confirmed);
  }

  private async probeAll(asked: readonly TargetRecord[]): Promise<ProbeResult> {
    const { probe, timers } = this.deps;
    const startedAt = timers.now();
    const results: ConnectionProbe[] = [];
    const accepted = await Promise.any(
      asked.map(async ({ address }) => {
        const result = await probe(address, PROBE_TIMEOUT_MS);
        results.push(result);
        if (result !== 'accepted') throw new Error(result);
      }),
    ).then(
      () => true,
      () => false,
    );
    const tookMs = timers.now() - startedAt;
    const verdict = verdictOf({
      asked: asked.length,
      accepted,
      tookMs,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return { verdict, results, tookMs };
  }

  private apply({ verdict, results, tookMs }: ProbeResult): void {
    if (verdict === ProbeVerdict.Unknown) return;
    const isCutOff = verdict === ProbeVerdict.CutOff;
    if (isCutOff === this.isCutOff) return;
    const { timers, log, onChange } = this.deps;
    const now = timers.now();
    if (isCutOff) {
      log.warn('no target can be reached', {
        probed: results.length,
        refused: results.filter((result) => result === 'refused').length,
        ms: Math.round(tookMs),
      });
    } else {
      const durationMs = now - (this.lostAt ?? now);
      this.cut = { endedAt: now, durationMs };
      log.info('targets can be reached again', { lost_ms: Math.round(durationMs) });
    }
    this.lostAt = isCutOff ? now : undefined;
    onChange(isCutOff);
  }
}
