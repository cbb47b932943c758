/** Attempts of one request: where they went and how they ended. */

/** Where a request can be sent. */
export type Place =
  | { readonly kind: 'target'; readonly id: string }
  /** A gateway of another region, which sends it to one of its targets. */
  | { readonly kind: 'peer'; readonly node: string; readonly region: string };

export type AttemptOutcome =
  /** No byte of the request left this process. */
  | { readonly kind: 'not-sent' }
  /** The receiver says that the request was not run and never will be. */
  | { readonly kind: 'not-run'; readonly retryAfterMs?: number }
  /** A complete failure answer of a target, which is kept and can be passed on. */
  | { readonly kind: 'failed'; readonly status: number; readonly runs: number }
  /** The request was sent and has no valid complete answer: it may have run, or still run. */
  | { readonly kind: 'lost'; readonly runs: number };

export interface AttemptRecord {
  readonly destination: Place;
  readonly outcome: AttemptOutcome;
}

/** Whether a target may have begun to run the request in this attempt. */
export function mayHaveRun({ outcome }: AttemptRecord): boolean {
  return outcome.kind === 'failed' || outcome.kind === 'lost';
}

/** Targets that may have run the request in this attempt; another gateway may use several. */
export function possibleRunsOf({ outcome }: AttemptRecord): number {
  return outcome.kind === 'failed' || outcome.kind === 'lost' ? outcome.runs : 0;
}

/** Whether two places are the same one. */
export function sameDestination(a: Place, b: Place): boolean {
  if (a.kind === 'target') return b.kind === 'target' && a.id === b.id;
  return b.kind === 'peer' && a.node === b.node;
}
