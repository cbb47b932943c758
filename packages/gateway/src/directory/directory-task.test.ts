import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import { afterEach, test } from 'node:test';
import {
  ANY_REGION,
  GatewayPhase,
  GatewayTable,
  RouteKind,
  RegionUsage,
  RouteTable,
  RouteUsage,
  seededRandom,
  type HostResidency,
  type Route,
} from '@marjoramcart/core';
import { ManualTimerService, readResponseBody, type Logger } from '@marjoramcart/runtime';
import type { DirectoryProtocol } from '../ports/request-protocol.js';
import { DirectoryTask } from './directory-task.js';
import { GatewayDirectory } from './gateway-directory.js';

const ADDRESS = '127.0.3.1:26900';
const GATEWAYS = 80;
const RESPONSES = 40;

const ROUTE: Route = {
  name: 'read',
  host: 'api.example',
  prefix: '/',
  kind: RouteKind.Repeatable,
  timeoutMs: 1000,
  latencyTargetMs: 100,
  patienceMs: 1000,
  priority: 0,
  services: [{ service: 'one', weight: 1 }],
  maxAttempts: 1,
  resumable: false,
  regions: ANY_REGION,
};

let directory: DirectoryTask | undefined;

afterEach(() => directory?.stop());

function tableOf(gateways: number): GatewayTable {
  const table = new GatewayTable('vm-0');
  Array.from({ length: gateways - 1 }, (_, index) => index + 1).forEach((index) =>
    table.mergeRecord(
      {
        node: `vm-${index}`,
        bootAt: 1,
        heartbeat: 1,
        phase: GatewayPhase.Ready,
        region: 'north',
        failureDomain: 'north-a',
        ip: `10.0.0.${index}`,
        configVersion: 1,
        revision: 1,
      },
      0,
    ),
  );
  return table;
}

async function readAddresses(): Promise<string[]> {
  const [res] = (await once(http.get(`http://${ADDRESS}/`), 'response')) as [http.IncomingMessage];
  const body = await readResponseBody(res);
  assert.equal(body.kind, 'complete');
  return JSON.parse(String(body.kind === 'complete' && body.body)) as string[];
}

// Guards against gateways that get no callers because of their place in a list, in a region with more
// gateways than a response names, and against log lines that grow with the fleet.
test('each gateway of a large region is named in some responses, and the log has numbers only', async () => {
  const lines: string[] = [];
  const protocol: DirectoryProtocol = {
    isReadyCheck: () => false,
    readQuery: () => ({ host: 'api.example', region: 'north', failureDomain: 'north-a' }),
    encodeResponse: (addresses: readonly string[]) => Buffer.from(JSON.stringify(addresses)),
  } as unknown as DirectoryProtocol;
  const phase = (): GatewayPhase => GatewayPhase.Ready;
  const residencyOf = (): HostResidency => ({ restrictedRoutes: 0, regions: ANY_REGION });
  directory = new DirectoryTask({
    directoryAddress: ADDRESS,
    readyAddress: ADDRESS,
    callersPort: 80,
    ttlS: 5,
    protocol,
    directory: new GatewayDirectory({
      node: 'vm-0',
      region: 'north',
      ip: '10.0.0.0',
      phase,
      leavingAt: () => undefined,
      table: tableOf(GATEWAYS),
      routes: () => new RouteTable([ROUTE]),
      usage: new RouteUsage(),
      regionUsage: new RegionUsage(),
      maxMisdirectedShare: 0.05,
      graceMs: 8000,
      timers: new ManualTimerService(),
    }),
    phase,
    random: seededRandom(20261),
    residencyOf,
    configVersion: () => 1,
    log: {
      info: (message: string, fields: object) => lines.push(`${message} ${JSON.stringify(fields)}`),
    } as unknown as Logger,
  });
  await directory.start();
  const responses = await Promise.all(Array.from({ length: RESPONSES }, () => readAddresses()));
  assert.ok(responses.every((addresses) => addresses.length === 64));
  assert.ok(responses.every((addresses) => new Set(addresses).size === addresses.length));
  assert.equal(new Set(responses.flat()).size, GATEWAYS);
  assert.equal(lines.length, 1);
  assert.ok((lines[0] as string).length < 200, lines[0]);
});
