/** Checks the goals of the policies; some compare with the best baseline of the same runs. */
import type { Figures } from './call-record.js';
import type { Row } from './report.js';
import { DEFAULT_COMBINATION } from './policy-combinations.js';

/** Difference of the shares within target up to which two combinations count as equal. */
const EQUAL_SHARE_TOLERANCE = 0.01;

export interface GoalResult {
  readonly goal: string;
  readonly met: boolean;
  readonly detail: string;
}

type FigureName = keyof Figures;

/** Checks the goals whose scenarios are among the rows; skips the others. */
export function checkGoals(rows: readonly Row[]): GoalResult[] {
  return [
    ...tailGoal(rows),
    ...costGoal(rows),
    ...['telgitoo', 'afilados'].flatMap((user) => [
      ...floodGoal(rows, user),
      ...attemptsGoal(rows, user),
      ...goodputGoal(rows, user),
    ]),
  ];
}

function defaultRow(rows: readonly Row[], user: string, scenario: string): Row | undefined {
  return rows.find(
    (row) => row.user === user && row.scenario === scenario && row.system === DEFAULT_COMBINATION,
  );
}

function baselinesOf(rows: readonly Row[], { user, scenario }: Row): Row[] {
  return rows.filter((row) => row.user === user && row.scenario === scenario && row.isBaseline);
}

function rowWithLowest(rows: readonly Row[], key: FigureName): Row | undefined {
  return [...rows].sort((a, b) => a.figures[key].median - b.figures[key].median)[0];
}

function tailGoal(rows: readonly Row[]): GoalResult[] {
  const own = defaultRow(rows, 'telgitoo', 'load-95');
  const best = own && rowWithLowest(baselinesOf(rows, own), 'firstP99');
  if (!own || !best) return [];
  const value = own.figures.firstP99.median;
  const other = best.figures.firstP99.median;
  const away = own.figures.awayShare.median;
  const otherAway = best.figures.awayShare.median;
  return [
    {
      goal: 'telgitoo, 95% load: first-token p99 at least 30% lower, no more sent away',
      met: value <= 0.7 * other && away <= otherAway,
      detail: `${value.toFixed(0)} ms against ${other.toFixed(0)} ms (${best.system}); away ${away.toFixed(3)} against ${otherAway.toFixed(3)}`,
    },
  ];
}

/**
 * Compares only with baselines whose share within target is equal or better; without one, with the
 * baseline whose share is highest.
 */
function costGoal(rows: readonly Row[]): GoalResult[] {
  const own = defaultRow(rows, 'afilados', 'load-95');
  if (!own) return [];
  const all = baselinesOf(rows, own);
  const within = own.figures.withinTarget.median;
  const equal = all.filter(
    (row) => row.figures.withinTarget.median >= within - EQUAL_SHARE_TOLERANCE,
  );
  const highest = [...all].sort(
    (a, b) => b.figures.withinTarget.median - a.figures.withinTarget.median,
  )[0];
  const compared = equal.length > 0 ? equal : all.filter((row) => row === highest);
  return (['acceleratorSPerAnswer', 'linkBytesPerAnswer', 'awayShare'] as const).flatMap((key) => {
    const best = rowWithLowest(compared, key);
    if (!best) return [];
    const value = own.figures[key].median;
    const other = best.figures[key].median;
    const share = best.figures.withinTarget.median;
    return [
      {
        goal: `afilados, 95% load: ${key} at least 30% lower at an equal share within target`,
        met: value <= 0.7 * other,
        detail: `${value.toPrecision(3)} against ${other.toPrecision(3)} (${best.system}); within target ${within.toFixed(3)} against ${share.toFixed(3)}`,
      },
    ];
  });
}

function floodGoal(rows: readonly Row[], user: string): GoalResult[] {
  const withoutFlood = defaultRow(rows, user, 'load-70');
  const flood = defaultRow(rows, user, 'flood');
  if (!withoutFlood || !flood) return [];
  const before = withoutFlood.figures.faultFirstP99.median;
  const during = flood.figures.faultFirstP99.median;
  return [
    {
      goal: `${user}: p99 of the region's other customers under a flood within 10%`,
      met: during <= 1.1 * before,
      detail: `${during.toFixed(0)} ms against ${before.toFixed(0)} ms; refused ${flood.figures.refusedShare.median.toFixed(4)}`,
    },
  ];
}

function attemptsGoal(rows: readonly Row[], user: string): GoalResult[] {
  const own = defaultRow(rows, user, 'half-lost');
  if (!own) return [];
  const { median, max } = own.figures.faultAttempts;
  return [
    {
      goal: `${user}: at most 1.1 attempts per request in a region that lost half its targets`,
      met: max <= 1.1,
      detail: `median ${median.toFixed(3)}, highest ${max.toFixed(3)}`,
    },
  ];
}

function goodputGoal(rows: readonly Row[], user: string): GoalResult[] {
  const full = defaultRow(rows, user, 'load-100')?.figures.goodputPerS.median;
  const over = defaultRow(rows, user, 'load-130')?.figures.goodputPerS.median;
  if (full === undefined || over === undefined) return [];
  return [
    {
      goal: `${user}: goodput at 130% at least 95% of that at 100%`,
      met: over >= 0.95 * full,
      detail: `${over.toFixed(1)}/s against ${full.toFixed(1)}/s (${((100 * over) / full).toFixed(1)}%)`,
    },
  ];
}
