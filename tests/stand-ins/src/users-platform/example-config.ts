/** Example configuration and gateway settings for a small fleet on loopback addresses. */

export const ZONES = { 'north-a': 'north', 'west-a': 'west' } as const;
export type Zone = keyof typeof ZONES;

export const MODEL_SERVICE = 'model';
export const PLAIN_SERVICE = 'plain';
export const HOST = 'api.example';

/** Operator's configuration with one route of each kind. */
export function exampleConfig(version: number, changes: object = {}): object {
  const route = (name: string, kind: string, service: string, overrides: object): object => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeoutMs: 3000,
    targetLatencyMs: 800,
    priority: 1,
    maxAttempts: 2,
    ...overrides,
  });
  return {
    version,
    routes: [
      route('stream', 'streaming', MODEL_SERVICE, { resumable: true }),
      route('once', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
      route('read', 'safe', PLAIN_SERVICE, {}),
      route('bound', 'safe', PLAIN_SERVICE, { homeRegions: ['west'] }),
    ],
    services: [
      { name: MODEL_SERVICE, warmupS: 0, coldPerS: 0, engine: { slots: 8, kvCapacityTokens: 1e5 } },
      { name: PLAIN_SERVICE },
    ],
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 5000,
    },
    ...changes,
  };
}

/** Node, addresses and zone of a gateway. */
export interface GatewayLocation {
  readonly node: string;
  readonly ip: string;
  readonly zone: Zone;
  /** First of ten consecutive ports. */
  readonly basePort: number;
  /** `ip:port` of the store. */
  readonly storeAddress: string;
  readonly seedIp: string;
  readonly memoryMb?: number;
  /** Descriptors that the machine has, 200 of them for files. */
  readonly maxFds?: number;
  readonly customers?: CustomerSettings;
}

/** Settings about customers; without them, those of a deployment that has none. */
export interface CustomerSettings {
  readonly contracts: readonly string[];
  readonly revokeMs: number;
  readonly revokeFailClosed: boolean;
}

/** Offsets of a gateway's ports from its base port. */
export const PortOffset = { Callers: 0, Ready: 1, Directory: 2, Control: 3, Internal: 4 } as const;

/** Renders a gateway's settings file (TOML) as the users' platform writes it. */
export function renderSettings(location: GatewayLocation): string {
  const { node, ip, zone, basePort, storeAddress, seedIp, memoryMb = 350, maxFds } = location;
  const { contracts = [], revokeMs, revokeFailClosed = false } = location.customers ?? {};
  const address = (offset: number): string => `"${ip}:${basePort + offset}"`;
  return `
node = "${node}"
ip = "${ip}"
zone = "${zone}"
region = "${ZONES[zone]}"
internalPorts = [${basePort + PortOffset.Internal}, ${basePort + PortOffset.Internal + 4}]
seeds = ["${seedIp}:${basePort + PortOffset.Control}"]
aKeyOfALaterRelease = true
contracts = ${JSON.stringify(contracts)}
[zones]
${Object.entries(ZONES)
  .map(([name, region]) => `${name} = "${region}"`)
  .join('\n')}
[listen]
front = ${address(PortOffset.Callers)}
ready = ${address(PortOffset.Ready)}
directory = ${address(PortOffset.Directory)}
control = ${address(PortOffset.Control)}
[limits]
memoryMb = ${memoryMb}
${maxFds === undefined ? '' : `maxFds = ${maxFds}`}
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 54
coldOverage = 1.5
coldSlack = 3
ttl_max_s = 5
revokeFailClosed = ${revokeFailClosed}
${revokeMs === undefined ? '' : `revokeMs = ${revokeMs}`}
[platform]
address = "${storeAddress}"
`;
}
