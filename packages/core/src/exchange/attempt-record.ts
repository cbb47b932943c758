/** Records of the attempts of one request: the destination and the outcome of each. */

/** A destination that a request can be sent to. */
export type Destination =
  | { readonly kind: 'target'; readonly id: string }
  /** A gateway of another region, which forwards the request to one of its targets. */
  | { readonly kind: 'peer'; readonly node: string; readonly region: string };

export type AttemptOutcome =
  /** No byte of the request left this process. */
  | { readonly kind: 'not-sent' }
  /** The receiver reports that it has not run the request and never will. */
  | {
      readonly kind: 'not-run';
      readonly retryAfterMs?: number;
      /** A gateway refused the request before it sent it to any target. */
      readonly unsent?: true;
    }
  /**
   * A complete error response, which is buffered and can be passed on; up to `runs` targets may have
   * run the request.
   */
  | { readonly kind: 'failed'; readonly status: number; readonly runs: number }
  /**
   * The request was sent but got no valid complete response: it may have run or still be running, at
   * up to `runs` targets.
   */
  | { readonly kind: 'lost'; readonly runs: number };

export interface AttemptRecord {
  readonly destination: Destination;
  readonly outcome: AttemptOutcome;
}

/** Whether a target may have begun to run the request in this attempt. */
export function mayHaveRun({ outcome }: AttemptRecord): boolean {
  return outcome.kind === 'failed' || outcome.kind === 'lost';
}

/** Whether the request may have been sent to a target in this attempt, even if that rejected it. */
export function mayHaveArrived({ outcome }: AttemptRecord): boolean {
  return outcome.kind === 'not-run' ? outcome.unsent !== true : outcome.kind !== 'not-sent';
}

/** Number of targets that may have run the request in this attempt; a peer may try several. */
export function possibleRunsOf({ outcome }: AttemptRecord): number {
  return outcome.kind === 'failed' || outcome.kind === 'lost' ? outcome.runs : 0;
}

/** Whether both destinations are the same target or gateway. */
export function sameDestination(a: Destination, b: Destination): boolean {
  if (a.kind === 'target') return b.kind === 'target' && a.id === b.id;
  return b.kind === 'peer' && a.node === b.node;
}
