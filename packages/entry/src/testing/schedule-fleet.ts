/**
 * Fleet of entries for tests with random schedules. It runs the real key tables, call runners,
 * dispatchers and exchanges on a simulated network; the schedule chooses each step (connect,
 * deliver, respond).
 */
import { seededRandom } from '@marjoramcart/core';
import { InMemoryResponse } from './in-memory-response.js';
import {
  ENTRY_LOCATIONS,
  ScheduledEntry,
  type EntryLocation,
  type ScheduledNetwork,
} from './scheduled-entry.js';

/** A network step, which succeeds or fails when the schedule chooses it. */
interface Step {
  /** Process that executes the step; a frozen or dead process executes none. */
  readonly at: () => ScheduledEntry | undefined;
  readonly execute: (ok: boolean) => void;
}

/** Response as the caller received it. */
export interface ReceivedResponse {
  readonly key: string;
  readonly run: string;
  readonly status: number;
}

export class ScheduleFleet implements ScheduledNetwork {
  readonly steps: Step[] = [];

  /** Number of runs at the targets by key. */
  readonly runs = new Map<string, number>();

  readonly responses: ReceivedResponse[] = [];

  entries: ScheduledEntry[] = [];

  readonly random;

  private boots = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.entries = ENTRY_LOCATIONS.map((location) => this.boot(location));
    this.gossip();
  }

  /** Sends a request with `key` to an entry, as a caller does. */
  send(key: string, index: number, deadlineMs: number): void {
    const entry = this.entry(index);
    if (entry.state === 'dead') return;
    // The kernel accepts connections of a frozen process, which reads the request after it resumes.
    this.steps.push({
      at: () => entry,
      execute: (ok) => {
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

  /** Executes one of the possible steps, successfully or not; false when there is none. */
  step(pick: number, ok: boolean): boolean {
    const possible = this.steps.filter(({ at }) => at()?.state !== 'frozen');
    const step = possible[pick % Math.max(1, possible.length)];
    if (!step) return false;
    this.steps.splice(this.steps.indexOf(step), 1);
    // A process that has ended executes no further step, not even a failing one.
    if (step.at()?.state !== 'dead') step.execute(ok);
    return true;
  }

  advance(ms: number): void {
    this.entries.forEach((entry) => entry.advance(ms));
  }

  freeze(index: number): void {
    const entry = this.entry(index);
    if (entry.state === 'up') entry.state = 'frozen';
  }

  thaw(index: number): void {
    const entry = this.entry(index);
    if (entry.state !== 'frozen') return;
    entry.state = 'up';
    entry.timers.pause(entry.missedMs);
    entry.missedMs = 0;
  }

  /** Ends a process and starts another one on the same address. */
  restart(index: number): void {
    const entry = this.entry(index);
    entry.state = 'dead';
    const started = this.boot(entry.location, entry.timers.now() + entry.missedMs);
    this.entries[index % ENTRY_LOCATIONS.length] = started;
    started.updateView(this.entries);
  }

  /** Removes the target of an entry, or adds it again. */
  toggleTarget(index: number): void {
    const entry = this.entry(index);
    entry.hasTarget = !entry.hasTarget;
    entry.updateView(this.entries);
  }

  /** Updates the views of all entries to the current processes. */
  gossip(): void {
    this.entries.forEach((entry) => entry.updateView(this.entries));
  }

  entry(index: number): ScheduledEntry {
    return this.entries[index % ENTRY_LOCATIONS.length] as ScheduledEntry;
  }

  entryAt(address: string): ScheduledEntry | undefined {
    return this.entries.find(({ location }) => location.address === address);
  }

  /** Resolves when the schedule chooses this step, with whether it succeeded. */
  wait(at: Step['at']): Promise<boolean> {
    return new Promise((execute) => {
      this.steps.push({ at, execute: execute });
    });
  }

  private boot(location: EntryLocation, nowMs = 0): ScheduledEntry {
    this.boots += 1;
    const bootId = `${String.fromCharCode(96 + this.boots).repeat(20)}-abc123`;
    return new ScheduledEntry(this, location, bootId, nowMs);
  }
}
