/** Checks the guarantees that must hold under any fault: compares responses with what targets ran. */
import type { TargetRun, TargetStandIn } from '../users-platform/target.js';
import { RequestKind, type SoakRequest } from './soak-callers.js';

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: string;
  readonly detail: string;
}

/** A run of a request and the target that ran it. */
export interface RunOnTarget {
  readonly target: TargetStandIn;
  readonly run: TargetRun;
}

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
const EVENT_IDS = [1, 2, 3, 4, 5, 6];
const WEST_ZONE = 'west-a';
/** A response must arrive this soon after the deadline, unless the gateway was killed or frozen. */
const RESPONSE_SLACK_MS = 1500;

/**
 * Returns the guarantees that single requests violated.
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
    const { response, id, kind } = request;
    const observed = `${id} (${kind}) answered ${response?.status ?? 'nothing'}, ran ${runs.length}`;
    const late =
      request.endedAt - request.sentAt > 3000 + RESPONSE_SLACK_MS &&
      !disturbed(request.address, request.sentAt, request.endedAt);
    const checks: readonly (readonly [string, boolean])[] = [
      ['runs at most once', kind === RequestKind.Once && runs.length > 1],
      ['runs at no more targets than its route allows', runs.length > 2],
      [
        'a refused request did not run',
        isRefusal(request) && kind === RequestKind.Once && runs.length > 0,
      ],
      [
        'a complete response has all its events and belongs to its request',
        isIncompleteOrForeign(request),
      ],
      [
        'stays in its region',
        kind === RequestKind.Bound && runs.some(({ target }) => zoneOf(target) !== WEST_ZONE),
      ],
      ['reserved headers are not passed on', runs.some(({ run }) => 'hold' in run.headers)],
      ['the body is unchanged', runs.some(({ run }) => !hasBodyOf(run, request))],
      ['a response arrives by the deadline', late],
    ];
    return checks
      .filter(([, broken]) => broken)
      .map(([guarantee]) => ({
        guarantee,
        detail: `${observed}: ${response?.body.slice(0, 80) ?? ''}`,
      }));
  });
}

function isRefusal({ response }: SoakRequest): boolean {
  return (
    response !== undefined &&
    REFUSAL_STATUSES.has(response.status) &&
    response.headers['response-signature'] === undefined
  );
}

/** Whether a complete response with status 200 lacks events or belongs to another request. */
function isIncompleteOrForeign({ id, kind, response }: SoakRequest): boolean {
  if (response?.status !== STATUS_OK || !response.complete) return false;
  if (response.headers['request-id'] !== id) return true;
  if (kind !== RequestKind.Stream) return !response.body.endsWith(` ran ${id}`);
  const ids = [...response.body.matchAll(/id: (\d+)\ndata: event \1\n\n/g)].map(([, event]) =>
    Number(event),
  );
  return ids.join() !== EVENT_IDS.join();
}

function hasBodyOf(run: TargetRun, { id, kind }: SoakRequest): boolean {
  const expected = kind === RequestKind.Once || kind === RequestKind.Stream ? `body of ${id}` : '';
  return run.body === expected;
}
