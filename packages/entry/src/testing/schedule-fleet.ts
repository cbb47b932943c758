/**
 * Entries without sockets for random schedules: the real key tables, runners, dispatchers and
 * exchanges on a network whose every step (connect, deliver, answer) waits to be chosen.
 */
import { seededRandom } from '@marjoramcart/core';
import { InMemoryResponse } from './held-response.js';
import { ENTRY_LOCATIONS, ScheduledEntry, type EntryLocation, type ScheduledNetwork } from './scheduled-entry.js';

/** A step of the network; it is taken when the schedule chooses it, or lost. */
interface Step {
  /** Where it happens; a frozen or dead process takes no step. */
  readonly at: () => ScheduledEntry | undefined;
  readonly take: (ok: boolean) => void;
}

/** What a caller was told. */
export interface ReceivedResponse {
  readonly key: string;
  readonly run: string;
  readonly status: number;
}

export class ScheduleFleet implements ScheduledNetwork {
  readonly steps: Step[] = [];

  /** Runs at the targets by key. */
  readonly runs = new Map<string, number>();

  readonly responses: ReceivedResponse[] = [];

  entries: ScheduledEntry[] = [];

  readonly random;

  private boots = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.entries = ENTRY_LOCATIONS.map((place) => this.boot(place));
    this.gossip();
  }

  /** Sends a request with `key` to an entry, as a caller does. */
  send(key: string, n: number, deadlineMs: number): void {
    const entry = this.entry(n);
    if (entry.state === 'dead') return;
    // A frozen process accepts the connection and reads the request when it wakes up.
    this.steps.push({
      at: () => entry,
      take: (ok) => {
        if (!ok) return;
        const res = new InMemoryResponse();
        entry.accept(res, { key, deadlineMs });
        res.once('answered', () => {
          const run = String(res.headers['marjoramcart-run'] ?? '');
          this.responses.push({ key, run, status: res.statusCode });
        });
      },
    });
  }

  /** Takes or loses one of the steps that are possible now; false when there is none. */
  step(pick: number, ok: boolean): boolean {
    const possible = this.steps.filter(({ at }) => at()?.state !== 'frozen');
    const step = possible[pick % Math.max(1, possible.length)];
    if (!step) return false;
    this.steps.splice(this.steps.indexOf(step), 1);
    // A process that has ended takes no further step, not even a failing one.
    if (step.at()?.state !== 'dead') step.take(ok);
    return true;
  }

  advance(ms: number): void {
    this.entries.forEach((entry) => entry.advance(ms));
  }

  freeze(n: number): void {
    const entry = this.entry(n);
    if (entry.state === 'up') entry.state = 'frozen';
  }

  thaw(n: number): void {
    const entry = this.entry(n);
    if (entry.state !== 'frozen') return;
    entry.state = 'up';
    entry.timers.pause(entry.missedMs);
    entry.missedMs = 0;
  }

  /** Ends a process and starts another one on its address. */
  restart(n: number): void {
    const entry = this.entry(n);
    entry.state = 'dead';
    const started = this.boot(entry.location, entry.timers.now() + entry.missedMs);
    this.entries[n % ENTRY_LOCATIONS.length] = started;
    started.updateView(this.entries);
  }

  /** Takes a target away from an entry, or gives it back. */
  toggleTarget(n: number): void {
    const entry = this.entry(n);
    entry.hasTarget = !entry.hasTarget;
    entry.updateView(this.entries);
  }

  /** Tells all entries the present processes; before it they know the earlier ones. */
  gossip(): void {
    this.entries.forEach((entry) => entry.updateView(this.entries));
  }

  entry(n: number): ScheduledEntry {
    return this.entries[n % ENTRY_LOCATIONS.length] as ScheduledEntry;
  }

  at(address: string): ScheduledEntry | undefined {
    return this.entries.find(({ location: place }) => place.address === address);
  }

  /** Resolves when the schedule chooses this step: whether it went well. */
  wait(at: Step['at']): Promise<boolean> {
    return new Promise((take) => {
      this.steps.push({ at, take });
    });
  }

  private boot(place: EntryLocation, nowMs = 0): ScheduledEntry {
    this.boots += 1;
    const bootId = `${String.fromCharCode(96 + this.boots).repeat(20)}-abc123`;
    return new ScheduledEntry(this, place, bootId, nowMs);
  }
}
