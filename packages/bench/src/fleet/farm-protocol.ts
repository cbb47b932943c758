/** Addresses of the engines of the target farm, and the prompts that set the pacing of their events. */

const ADDRESSES_PER_BLOCK = 250;

/**
 * Address of the nth engine: all engines share a port and differ in their loopback address.
 *
 * @example farmAddress(0, 9000) // '127.1.0.1:9000'
 */
export function farmAddress(n: number, port: number): string {
  return `127.1.${Math.floor(n / ADDRESSES_PER_BLOCK)}.${(n % ADDRESSES_PER_BLOCK) + 1}:${port}`;
}

/** Number of events and the interval between them in ms; 0 ms is limited by back-pressure alone. */
export interface EventPacing {
  readonly tokens: number;
  readonly intervalMs: number;
}

/** Builds a prompt that asks an engine of the target farm for this pacing. */
export function pacingPrompt({ tokens, intervalMs }: EventPacing): string {
  return `pace=${tokens}/${intervalMs};`;
}

/** Reads the pacing from a request body; 4 events without interval when there is none. */
export function parsePacing(body: string): EventPacing {
  const [, tokens = '4', intervalMs = '0'] = /pace=(\d+)\/(\d+);/.exec(body) ?? [];
  return { tokens: Number(tokens), intervalMs: Number(intervalMs) };
}
