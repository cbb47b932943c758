/** Addresses of the engines of a farm, and the prompts that set the pace of their answers. */

const ADDRESSES_PER_BLOCK = 250;

/**
 * Address of the nth engine: all engines share a port and differ in their loopback address.
 *
 * @example farmAddress(0, 9000) // '127.1.0.1:9000'
 */
export function farmAddress(n: number, port: number): string {
  return `127.1.${Math.floor(n / ADDRESSES_PER_BLOCK)}.${(n % ADDRESSES_PER_BLOCK) + 1}:${port}`;
}

/** Number of events and time between them in ms; 0 ms sends as fast as the reader takes them. */
export interface EventPacing {
  readonly tokens: number;
  readonly intervalMs: number;
}

/** A prompt that asks an engine of the farm for a pace. */
export function pacingPrompt({ tokens, intervalMs: everyMs }: EventPacing): string {
  return `pace=${tokens}/${everyMs};`;
}

/** The pace that a request body asks for; 4 events at once when it names none. */
export function parsePacing(body: string): EventPacing {
  const [, tokens = '4', everyMs = '0'] = /pace=(\d+)\/(\d+);/.exec(body) ?? [];
  return { tokens: Number(tokens), intervalMs: Number(everyMs) };
}
