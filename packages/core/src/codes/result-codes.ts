/**
 * Table of the numbered result codes of the gateway. `docs/result-codes.md` is generated from it, and
 * a test fails when the two differ.
 *
 * Ranges: 1xxx input, 2xxx identity and residency, 3xxx limits and admission, 4xxx routing and
 * targets, 5xxx idempotency and outcomes, 6xxx daemons' peers, 9xxx internal.
 */

/** Whether a target ran the request. `not_run` is final: the request never runs later. */
export const RunState = {
  Ran: 'ran',
  NotRun: 'not_run',
  Unknown: 'unknown',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/** One row of the table of result codes. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  /** HTTP status of the response to the caller. */
  readonly status: number;
  readonly run: RunState;
  readonly message: string;
  /** What the caller should do next. */
  readonly next: string;
}

const { Ran, NotRun, Unknown } = RunState;

function row(
  code: number,
  name: string,
  status: number,
  run: RunState,
  message: string,
  next: string,
): ResultCode {
  return { code, name, status, run, message, next };
}

const FIX = 'Correct the request.';
const RETRY_LATER = 'Retry after the delay in Retry-After.';
const OTHER_ENTRY = 'Retry at another entry of the entry list.';

export const ResultCodes = {
  Ok: row(1000, 'ok', 200, Ran, 'The request ran and the answer is complete.', 'Nothing.'),
  MalformedJson: row(1101, 'malformed_json', 400, NotRun, 'The body is not valid JSON.', FIX),
  InvalidRequest: row(1102, 'invalid_request', 400, NotRun, 'A field is missing or invalid.', FIX),
  BodyTooLarge: row(1103, 'body_too_large', 413, NotRun, 'The body is over the size limit.', FIX),
  JsonTooDeep: row(1104, 'json_too_deep', 400, NotRun, 'The JSON is nested too deeply.', FIX),
  HeadersTooLarge: row(1105, 'headers_too_large', 431, NotRun, 'The headers are too large.', FIX),
  SenderTooSlow: row(
    1106,
    'sender_too_slow',
    408,
    NotRun,
    'The body arrived too slowly.',
    'Retry.',
  ),
  InvalidDeadline: row(1107, 'invalid_deadline', 400, NotRun, 'The deadline is invalid.', FIX),
  NoSuchPath: row(1108, 'no_such_path', 404, NotRun, 'There is no such path.', FIX),
  MethodNotAllowed: row(1109, 'method_not_allowed', 405, NotRun, 'Method not allowed.', FIX),
  MissingApiKey: row(2101, 'missing_api_key', 401, NotRun, 'No API key was given.', FIX),
  UnknownApiKey: row(2102, 'unknown_api_key', 401, NotRun, 'The API key is not known.', FIX),
  UnknownService: row(2103, 'unknown_service', 404, NotRun, 'There is no such service.', FIX),
  ServiceNotAllowed: row(
    2104,
    'service_not_allowed',
    403,
    NotRun,
    'The customer may not call this service.',
    FIX,
  ),
  RegionNotAllowed: row(
    2201,
    'region_not_allowed',
    421,
    NotRun,
    'The request may not be handled in this region; the body was not read.',
    'Use one of the entries in error.entries.',
  ),
  RegionWithdrawn: row(
    2202,
    'region_withdrawn',
    421,
    NotRun,
    'While the request waited, a new configuration excluded this region.',
    OTHER_ENTRY,
  ),
  RateLimited: row(3101, 'rate_limited', 429, NotRun, 'The rate limit is reached.', RETRY_LATER),
  QueueFull: row(3102, 'queue_full', 429, NotRun, "The customer's queue is full.", RETRY_LATER),
  DeadlineUnreachable: row(
    3103,
    'deadline_unreachable',
    503,
    NotRun,
    'The deadline cannot be met at the present load.',
    'Retry with a later deadline or after a delay.',
  ),
  DeadlineExpired: row(
    3104,
    'deadline_expired',
    504,
    NotRun,
    'The deadline passed before the request was sent to a target.',
    'Retry with a later deadline.',
  ),
  EntryDraining: row(3105, 'entry_draining', 503, NotRun, 'The entry shuts down.', OTHER_ENTRY),
  EntryNotReady: row(
    3106,
    'entry_not_ready',
    503,
    NotRun,
    'The entry has no configuration yet.',
    OTHER_ENTRY,
  ),
  StreamsLimited: row(
    3107,
    'streams_limited',
    429,
    NotRun,
    'The limit of open streams is reached.',
    RETRY_LATER,
  ),
  RetriesSpent: row(
    3108,
    'retries_spent',
    503,
    NotRun,
    'The request was not run, and the retry budget of its service is spent.',
    RETRY_LATER,
  ),
  ConfigurationBehind: row(
    3109,
    'configuration_behind',
    503,
    NotRun,
    'A newer configuration is in force elsewhere, and this gateway does not have it yet.',
    OTHER_ENTRY,
  ),
  BodyMemoryFull: row(
    3110,
    'body_memory_full',
    503,
    NotRun,
    'The gateway holds so many request bodies that it has no memory for this one.',
    RETRY_LATER,
  ),
  NoReadyTarget: row(4102, 'no_ready_target', 503, NotRun, 'No target is ready.', RETRY_LATER),
  TargetUnreachable: row(
    4103,
    'target_unreachable',
    503,
    NotRun,
    'No target could be reached before the request was sent.',
    RETRY_LATER,
  ),
  StreamVersionUnknown: row(
    4104,
    'stream_version_unknown',
    503,
    NotRun,
    'It is not known which software version began the stream, so no target may go on with it.',
    'Retry after a delay, or begin again without the id of the last event.',
  ),
  RequestCrashesTargets: row(
    4201,
    'request_crashes_targets',
    422,
    Unknown,
    'Targets died while running this request; it is refused.',
    'Do not send it again.',
  ),
  PromptCrashesTargets: row(
    4202,
    'prompt_crashes_targets',
    503,
    NotRun,
    'Targets died while running this request, or others with a part of its prompt; it is refused.',
    'Do not send it again, or much later; or without that part of the prompt.',
  ),
  TargetFailed: row(
    4301,
    'target_failed',
    502,
    Unknown,
    'The target failed before a complete answer.',
    'Ask for the outcome with the same idempotency key, or retry a repeatable request.',
  ),
  StreamInterrupted: row(
    4302,
    'stream_interrupted',
    502,
    Unknown,
    'The stream ended before it was complete.',
    'Discard the partial answer and retry a repeatable request.',
  ),
  TargetTimeout: row(
    4303,
    'target_timeout',
    504,
    Unknown,
    'The deadline passed while the target was running the request.',
    'Ask for the outcome with the same idempotency key, or retry a repeatable request.',
  ),
  AnswerTooLarge: row(
    4304,
    'answer_too_large',
    502,
    Ran,
    "The target's answer is over the size limit.",
    'Ask for a smaller answer.',
  ),
  ForwardRefused: row(
    4401,
    'forward_refused',
    503,
    NotRun,
    'The forward was refused.',
    RETRY_LATER,
  ),
  KeyRequired: row(
    5101,
    'idempotency_key_required',
    428,
    NotRun,
    'This request is not repeatable and needs an Idempotency-Key.',
    'Use the key prefix in error.key_prefix.',
  ),
  KeyMalformed: row(5102, 'idempotency_key_malformed', 400, NotRun, 'The key is malformed.', FIX),
  KeyExpired: row(
    5103,
    'idempotency_key_expired',
    409,
    Unknown,
    'The key has expired; an earlier request with it may have run.',
    'Find out the outcome at the service, then use a new key.',
  ),
  KeyReused: row(
    5104,
    'idempotency_key_reused',
    422,
    Unknown,
    'The key was used with another request.',
    'Use a new key for another request.',
  ),
  KeyBurned: row(
    5105,
    'idempotency_key_burned',
    409,
    NotRun,
    'The request with this key was not run and never will be.',
    'Use a new key.',
  ),
  KeyTableFull: row(5106, 'key_table_full', 503, NotRun, 'The key table is full.', OTHER_ENTRY),
  OutcomeUnknown: row(
    5201,
    'outcome_unknown',
    502,
    Unknown,
    'It is not known whether the request ran.',
    'Find out the outcome at the service before using a new key.',
  ),
  KeyExpiryTooFar: row(5107, 'key_expiry_too_far', 400, NotRun, 'The expiry is too far.', FIX),
  PeerUnauthenticated: row(
    6101,
    'peer_unauthenticated',
    401,
    NotRun,
    'The message between daemons is not authenticated.',
    'Check the fleet secret.',
  ),
  Internal: row(9001, 'internal', 500, Unknown, 'Internal error.', 'Report it.'),
} as const satisfies Record<string, ResultCode>;

export type ResultCodeKey = keyof typeof ResultCodes;

/**
 * Finds a result code by its number.
 *
 * @example resultCodeByNumber(4102)?.name // 'no_ready_target'
 */
export function resultCodeByNumber(code: number): ResultCode | undefined {
  return Object.values<ResultCode>(ResultCodes).find((result) => result.code === code);
}
