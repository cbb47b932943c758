/** Starts control daemons in the test process and builds their inputs. */
import net from 'node:net';
import {
  MessageAuthenticator,
  RpcClient,
  controlSettingsSchema,
  silentLogger,
} from '@marjoramcart/runtime';
import type { EntrySyncParams, ProcessRef, VmRecord } from '@marjoramcart/core';
import { createControlDaemon, type ControlDaemon } from '../daemon.js';

export const FLEET_SECRET = 'a-shared-fleet-secret';

export const MAIN_CONFIG = `
format: 1
regions:
  north: { failure_domains: [north-1] }
services:
  crane-booking:
    kind: plain
    regions: [north]
    operations: [{ method: POST, path: /book, repeatable: false }]
classes:
  standard: { priority: 10 }
customers:
  - { id: c1, key: 0123456789abcdef0123456789abcdef, class: standard }
`;

/** Below the ports that the operating system gives to outgoing connections, of which one could take a free port. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 2000;
const usedPorts = new Set<number>();

/** A free loopback address; daemons advertise the port of their settings, so it must not be 0. */
export async function freeAddress(): Promise<string> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  if (usedPorts.has(port) || !(await isFree(port))) return freeAddress();
  usedPorts.add(port);
  return `127.0.0.1:${port}`;
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export interface DaemonOptions {
  readonly vm: string;
  readonly platformUrl: string;
  readonly address?: string;
  readonly seeds?: string[];
  /** Region and failure domain; default north and north-1. */
  readonly location?: { region: string; failure_domain: string };
}

/** Starts a control daemon. */
export async function startDaemon(options: DaemonOptions): Promise<ControlDaemon> {
  const settings = controlSettingsSchema.parse({
    ...(options.location ?? { region: 'north', failure_domain: 'north-1' }),
    vm: options.vm,
    fleet_secret: FLEET_SECRET,
    listen: { peers: options.address ?? (await freeAddress()), admin: '127.0.0.1:0' },
    platform: { config: options.platformUrl, vms: options.platformUrl },
    seeds: options.seeds ?? [],
  });
  const daemon = createControlDaemon(settings, silentLogger());
  await daemon.kernel.start();
  return daemon;
}

/** Polls until `check` returns true; rejects after `limitMs`. */
export async function waitUntil(
  condition: string,
  check: () => boolean,
  timeoutMs = 10_000,
): Promise<void> {
  const endAt = performance.now() + timeoutMs;
  await new Promise<void>((resolve, reject) => {
    const poll = setInterval(() => {
      const late = performance.now() > endAt;
      if (!check() && !late) return;
      clearInterval(poll);
      if (late) reject(new Error(`timed out after ${timeoutMs} ms: ${condition}`));
      else resolve();
    }, 5);
  });
}

export function entryRef(vm: string): ProcessRef {
  return {
    bootId: `entry-${vm}`,
    role: 'entry',
    vm,
    region: 'north',
    failureDomain: 'north-1',
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
  };
}

/** Parameters of the first sync of an entry. */
export function newEntryParams(vm: string): EntrySyncParams {
  return {
    process: entryRef(vm),
    load: { openRequests: 0, queued: 0, draining: false },
    held: {},
    revision: 0,
    witnessedRevision: 0,
    viewVersion: 0,
    observations: [],
    suspects: [],
  };
}

export function testClient(): RpcClient {
  return new RpcClient(new MessageAuthenticator(FLEET_SECRET, Date.now), 'test');
}

export function targetRecord(vm: string, address: string): VmRecord {
  return {
    vm,
    role: 'target',
    state: 'live',
    region: 'north',
    failureDomain: 'north-1',
    address,
    target: { kind: 'plain', service: 'crane-booking' },
  };
}

export function entryRecord(vm: string, address: string): VmRecord {
  return { vm, role: 'entry', state: 'live', region: 'north', failureDomain: 'north-1', address };
}
