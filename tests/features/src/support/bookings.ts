/** Sends bookings and compares every response with the run logs of the targets. */
import assert from 'node:assert/strict';
import {
  makeKey,
  request,
  requestJson,
  waitFor,
  type CallResult,
  type EntryPlan,
  type RunRecord,
} from '@marjoramcart/stand-ins';
import type { GatewayWorld } from './world.js';

const WAIT_TIMEOUT_MS = 30_000;

export interface Booking {
  readonly marker: string;
  readonly key: string;
}

interface ReceivedResponse {
  readonly booking: Booking;
  readonly resent: boolean;
  readonly result: CallResult;
}

export interface SendOptions {
  readonly resent?: boolean;
  readonly deadlineMs?: number;
}

export class Bookings {
  readonly all: Booking[] = [];

  readonly responses: ReceivedResponse[] = [];

  private keyPrefix = '';

  private readonly pending = new Set<Promise<CallResult>>();

  constructor(private readonly world: GatewayWorld) {}

  /** Creates bookings with keys that `owner` owns, once every entry lists that owner. */
  async create(customer: string, count: number, owner: EntryPlan): Promise<readonly Booking[]> {
    const { world } = this;
    const prefix = await this.fetchKeyPrefix(customer, owner);
    await Promise.all(
      world.fleet.layout.entries.map(({ name, callers }) =>
        waitFor(
          `${name} knows ${owner.name}`,
          async () =>
            (await world.caller(customer).entries(callers)).some(
              ({ key_prefix }) => key_prefix === prefix,
            ),
          WAIT_TIMEOUT_MS,
        ),
      ),
    );
    this.keyPrefix = prefix;
    return this.createMore(count);
  }

  /** Creates further bookings with keys of the same owner, or of another prefix. */
  createMore(count: number, prefix = this.keyPrefix): readonly Booking[] {
    const { world } = this;
    const made = Array.from({ length: count }, (_, n) => ({
      marker: `${world.marker}-${this.all.length + n}`,
      key: makeKey(prefix, world.nonce()),
    }));
    this.all.push(...made);
    return made;
  }

  /** Sends a booking on a separate connection and records the response. */
  send(
    customer: string,
    booking: Booking,
    entry: Pick<EntryPlan, 'callers'>,
    { resent = false, deadlineMs }: SendOptions = {},
  ): Promise<CallResult> {
    const deadline = deadlineMs === undefined ? {} : { 'marjoramcart-deadline-ms': deadlineMs };
    const sent = this.world
      .caller(customer)
      .call(entry.callers, {
        method: 'POST',
        path: '/svc/crane-booking/slots',
        body: { note: `a slot, marker:${booking.marker}` },
        headers: { 'idempotency-key': booking.key, ...deadline },
        freshConnection: true,
      })
      .then((result) => {
        this.responses.push({ booking, resent, result });
        this.pending.delete(sent);
        return result;
      });
    this.pending.add(sent);
    return sent;
  }

  startedRuns(): RunRecord[] {
    const markers = new Set(this.all.map(({ marker }) => marker));
    return this.world.fleet
      .runs()
      .filter(({ event, marker }) => event === 'started' && markers.has(marker));
  }

  /** Waits until every caller has its response and no entry or booking target has an open call. */
  async waitUntilIdle(): Promise<void> {
    const { fleet } = this.world;
    await Promise.all(this.pending);
    await Promise.all([
      ...fleet.layout.entries
        .filter(({ name }) => fleet.process(name).running)
        .map((entry) =>
          waitFor(
            `${entry.name} has no open call`,
            async () => (await entryStatus(entry)).open_requests === 0,
            WAIT_TIMEOUT_MS,
          ),
        ),
      ...fleet.layout.targets
        .filter(({ service }) => service !== undefined)
        .map(({ name, address }) =>
          waitFor(
            `${name} runs nothing`,
            async () => {
              const url = `http://${address}/load`;
              return (await requestJson<{ running: number }>('GET', url)).running === 0;
            },
            WAIT_TIMEOUT_MS,
          ),
        ),
    ]);
  }

  /**
   * Compares every response with the targets' run logs.
   *
   * @returns the counts for the report
   */
  async checkAgainstRunLogs(): Promise<Record<string, number>> {
    await this.waitUntilIdle();
    const runs = this.startedRuns();
    const runsOf = ({ marker }: Booking): RunRecord[] => runs.filter((r) => r.marker === marker);
    const twice = this.all.filter((booking) => runsOf(booking).length > 1);
    const wronglyNotRun = this.responses.filter(
      ({ booking, result }) => result.run === 'not_run' && runsOf(booking).length > 0,
    );
    const wrongBooking = this.responses.filter(
      ({ booking, result }) =>
        result.complete &&
        (JSON.parse(result.text) as { booking: unknown }).booking !== runsOf(booking)[0]?.run,
    );
    assert.deepEqual(
      {
        twice: twice.map(({ marker }) => marker),
        wronglyNotRun: distinctLines(wronglyNotRun),
        wrongBooking: distinctLines(wrongBooking),
      },
      { twice: [], wronglyNotRun: [], wrongBooking: [] },
    );
    return { bookings: this.all.length, runs: runs.length, ...this.countByRun() };
  }

  /** Number of responses by the run state that they report. */
  private countByRun(): Record<string, number> {
    const counts: Record<string, number> = { answers: this.responses.length };
    this.responses.forEach(({ result }) => {
      const runState = result.run === '' ? 'no answer' : result.run;
      counts[runState] = (counts[runState] ?? 0) + 1;
    });
    return counts;
  }

  /** Key prefix of an entry, from its refusal of a booking without a key. */
  private async fetchKeyPrefix(customer: string, { callers }: EntryPlan): Promise<string> {
    const refused = await this.world.caller(customer).call(callers, {
      method: 'POST',
      path: '/svc/crane-booking/slots',
      body: {},
      freshConnection: true,
    });
    const prefix = refused.error?.key_prefix;
    if (prefix === undefined) throw new Error(`${callers} returned no key prefix: ${refused.text}`);
    return prefix;
  }
}

/** `/status` of an entry. */
export async function entryStatus({
  admin,
}: EntryPlan): Promise<{ open_requests: number; queued: number; suspects: number }> {
  const { text } = await request('GET', `http://${admin}/status`);
  return JSON.parse(text) as { open_requests: number; queued: number; suspects: number };
}

/** One line for each distinct response, for assertion messages. */
function distinctLines(responses: readonly ReceivedResponse[]): string[] {
  const lines = responses.map(
    ({ booking, result }) => `${booking.marker}: ${result.status} ${result.code} ${result.run}`,
  );
  return [...new Set(lines)];
}
