/**
 * Decides whether a gateway has lost its own links to the targets of its region, from connections that
 * it opens to some of them. A target that is down or slow fails alone; one's own links fail together.
 */
import { sampleItems, type RandomSource } from '../random-source.js';

/** A target to which a connection may be opened. */
export interface ProbedTarget {
  readonly address: string;
  readonly failureDomain: string;
}

/** What a probe of some targets found. */
export const ProbeVerdict = {
  /** At least one target accepted a connection. */
  Reached: 'reached',
  /** No target did. */
  CutOff: 'cut-off',
  /** Nothing follows, as too few targets were asked, or the process was too busy to see the answers. */
  Unknown: 'unknown',
} as const;
export type ProbeVerdict = (typeof ProbeVerdict)[keyof typeof ProbeVerdict];

/** A probe whose end was noticed later than this after its timeout says nothing, ms. */
const MAX_DELAY_MS = 150;
/** A single target that accepts nothing may be down itself. */
const MIN_ASKED = 2;

/**
 * Chooses the targets to probe, of as many failure domains as possible, so that the loss of one domain
 * is not taken for the loss of the gateway's own links.
 *
 * @example chooseProbed(targets, 6, random)
 */
export function chooseProbed<Target extends ProbedTarget>(
  targets: readonly Target[],
  count: number,
  random: RandomSource,
): Target[] {
  const shuffled = sampleItems(targets, targets.length, random);
  const rankInDomain = new Map<string, number>();
  return shuffled
    .map((target) => {
      const rank = rankInDomain.get(target.failureDomain) ?? 0;
      rankInDomain.set(target.failureDomain, rank + 1);
      return { target, rank };
    })
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({ target }) => target);
}

/**
 * Evaluates a probe.
 *
 * @param asked number of targets to which a connection was opened
 * @param accepted whether one of them accepted it
 * @param tookMs time until the end of the probe
 * @param timeoutMs longest wait for each connection
 * @example verdictOf({ asked: 6, accepted: false, tookMs: 2, timeoutMs: 400 }) // 'cut-off'
 */
export function verdictOf({
  asked,
  accepted,
  tookMs,
  timeoutMs,
}: {
  readonly asked: number;
  readonly accepted: boolean;
  readonly tookMs: number;
  readonly timeoutMs: number;
}): ProbeVerdict {
  if (accepted) return ProbeVerdict.Reached;
  if (asked < MIN_ASKED || tookMs > timeoutMs + MAX_DELAY_MS) return ProbeVerdict.Unknown;
  return ProbeVerdict.CutOff;
}
