/**
 * Steps shared by the launchers of daemons: create the folder, write settings, publish
 * configuration and wait for readiness.
 */
import { mkdirSync, rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { request, requestJson } from './http-client.js';
import type { Layout } from './layout.js';
import type { ManagedProcess } from './managed-process.js';
import type { ProcessGroup } from './process-group.js';
import type { DomainDialConfig } from './proxy-links.js';
import {
  writeControlSettings,
  writeEntrySettings,
  type SettingsOptions,
} from './settings-files.js';
import { waitFor } from './wait.js';

const PACKAGES_FOLDER = fileURLToPath(new URL('../../../../packages/', import.meta.url));

/** Creates an empty folder and deletes its earlier content. */
export function recreateFolder(folder: string): void {
  // eslint-disable-next-line n/no-sync
  rmSync(folder, { recursive: true, force: true });
  // eslint-disable-next-line n/no-sync
  mkdirSync(folder, { recursive: true });
}

/** Writes the settings files of all daemons and adds their processes, control daemons first. */
export function addDaemons(
  group: ProcessGroup,
  {
    layout,
    dialingOf: dialConfigOf,
  }: { layout: Layout; dialingOf: (domain: string) => DomainDialConfig },
  options: SettingsOptions,
): string[] {
  layout.controls.forEach((plan) => {
    const file = writeControlSettings(plan, layout, dialConfigOf(plan.domain), options);
    group.add(plan.name, `${PACKAGES_FOLDER}control/dist/main.js`, ['--config', file]);
  });
  layout.entries.forEach((plan) => {
    const file = writeEntrySettings(plan, dialConfigOf(plan.domain), options);
    group.add(plan.name, `${PACKAGES_FOLDER}entry/dist/main.js`, ['--config', file]);
  });
  return [...layout.controls, ...layout.entries].map(({ name }) => name);
}

/**
 * Waits until `GET /readyz` of a process returns status 200.
 *
 * @throws Error that names the process if it is not ready after `timeoutMs`
 */
export async function waitReady(
  managed: ManagedProcess,
  address: string,
  timeoutMs: number,
): Promise<void> {
  await waitFor(
    `${managed.name} is ready (log: ${managed.logFile})`,
    async () => {
      if (!managed.running) return false;
      return (await request('GET', `http://${address}/readyz`)).status === 200;
    },
    timeoutMs,
  );
}

/** Client for the test port of the stand-in platform. */
export class PlatformTestPort {
  constructor(private readonly address: string) {}

  send<Value>(method: string, path: string, body?: object | string): Promise<Value> {
    return requestJson<Value>(method, `http://${this.address}${path}`, body);
  }

  /** Publishes a value to the configuration service; returns its revision. */
  async publish(key: string, value: object | string): Promise<number> {
    // Configuration with YAML aliases is rejected; `stringify` writes them for repeated objects.
    const text =
      typeof value === 'string' ? value : stringify(value, { aliasDuplicateObjects: false });
    const { revision } = await this.send<{ revision: number }>('PUT', `/values/${key}`, text);
    return revision;
  }

  /** Publishes values in order, one at a time. */
  async publishAll(values: Iterable<readonly [string, object | string]>): Promise<void> {
    await [...values].reduce<Promise<unknown>>(
      (before, [key, value]) => before.then(() => this.publish(key, value)),
      Promise.resolve(),
    );
  }
}
