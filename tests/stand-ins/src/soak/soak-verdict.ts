/** Compares what callers saw with what targets ran: the promises that hold whatever fails. */
import type { TargetRun, TargetStandIn } from '../users-platform/target.js';
import { RequestKind, type SoakRequest } from './soak-callers.js';

/** A promise that was broken. */
export interface Violation {
  readonly guarantee: string;
  readonly detail: string;
}

/** A target with one of its runs. */
export interface RunOnTarget {
  readonly target: TargetStandIn;
  readonly run: TargetRun;
}

const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
const EVENTS = [1, 2, 3, 4, 5, 6];
const WEST_ZONE = 'west-a';
/** An answer comes within this time of the caller's deadline, unless the gateway was stopped. */
const ANSWER_SLACK_MS = 1500;

/**
 * Promises that single requests broke.
 *
 * @param disturbed whether the gateway at an address was killed or frozen between two times
 */
export function checkRequests(
  requests: readonly SoakRequest[],
  runsOf: (id: string) => readonly RunOnTarget[],
  zoneOf: (target: TargetStandIn) => string,
  disturbed: (address: string, from: number, to: number) => boolean,
): Violation[] {
  return requests.flatMap((request) => {
    const runs = runsOf(request.id);
    const { response: answer, id, kind } = request;
    const seen = `${id} (${kind}) answered ${answer?.status ?? 'nothing'}, ran ${runs.length}`;
    const late =
      request.endedAt - request.sentAt > 3000 + ANSWER_SLACK_MS &&
      !disturbed(request.address, request.sentAt, request.endedAt);
    const checks: readonly (readonly [string, boolean])[] = [
      ['runs at most once', kind === RequestKind.Once && runs.length > 1],
      ['runs at no more targets than its route allows', runs.length > 2],
      ['a refusal is true', isRefusal(request) && kind === RequestKind.Once && runs.length > 0],
      ['the answer is whole and its own', isWrong(request)],
      [
        'stays in its region',
        kind === RequestKind.Bound && runs.some(({ target }) => zoneOf(target) !== WEST_ZONE),
      ],
      ['reserved headers are not passed on', runs.some(({ run }) => 'hold' in run.headers)],
      ['the body is unchanged', runs.some(({ run }) => !isBodyOf(run, request))],
      ['an answer comes by the deadline', late],
    ];
    return checks
      .filter(([, broken]) => broken)
      .map(([promise]) => ({ promise, detail: `${seen}: ${answer?.body.slice(0, 80) ?? ''}` }));
  });
}

function isRefusal({ response: answer }: SoakRequest): boolean {
  return (
    answer !== undefined &&
    REFUSALS.has(answer.status) &&
    answer.headers['response-signature'] === undefined
  );
}

/** Whether a success is not the whole answer to this request. */
function isWrong({ id, kind, response: answer }: SoakRequest): boolean {
  if (answer?.status !== STATUS_OK || !answer.complete) return false;
  if (answer.headers['request-id'] !== id) return true;
  if (kind !== RequestKind.Stream) return !answer.body.endsWith(` ran ${id}`);
  const ids = [...answer.body.matchAll(/id: (\d+)\ndata: event \1\n\n/g)].map(([, event]) =>
    Number(event),
  );
  return ids.join() !== EVENTS.join();
}

function isBodyOf(run: TargetRun, { id, kind }: SoakRequest): boolean {
  const expected = kind === RequestKind.Once || kind === RequestKind.Stream ? `body of ${id}` : '';
  return run.body === expected;
}
