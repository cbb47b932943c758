/** Versions of the software that began the latest streams, by the id of the request. */

export interface StreamBegin {
  /** Request that delivered the first event. */
  readonly id: string;
  readonly service: string;
  /** Undefined if it is known that the version is not known. */
  readonly version: string | undefined;
}

interface KnownBegin {
  readonly version: string | undefined;
  /** Monotonic ms. */
  readonly at: number;
}

/** Streams and the attempts of their callers to take them up are over after this time. */
const RETENTION_MS = 60_000;
const MAX_STREAMS = 20_000;

export class StreamVersions {
  /** By service and id, in the order in which they were last noted. */
  private readonly known = new Map<string, KnownBegin>();

  /**
   * Notes which version began a stream.
   *
   * @param ageMs time since another gateway noted it, ms
   * @example versions.add({ id: 'a1', service: 'chat', version: 'v2' }, timers.now())
   */
  add({ id, service, version }: StreamBegin, now: number, ageMs = 0): void {
    const key = keyOf(service, id);
    const before = this.known.get(key);
    const isContradiction = before !== undefined && before.version !== version;
    this.known.delete(key);
    this.known.set(key, { version: isContradiction ? undefined : version, at: now - ageMs });
    const [oldest] = this.known.keys();
    if (this.known.size > MAX_STREAMS && oldest !== undefined) this.known.delete(oldest);
  }

  /** Undefined if nothing was noted about the stream. */
  get(service: string, id: string): StreamBegin | undefined {
    const begin = this.known.get(keyOf(service, id));
    return begin && { id, service, version: begin.version };
  }

  /** Streams of a service, with the time since they were noted, ms. */
  of(service: string, now: number): (StreamBegin & { readonly ageMs: number })[] {
    return [...this.known]
      .map(([key, { version, at }]) => ({ ...partsOf(key), version, ageMs: now - at }))
      .filter((begin) => begin.service === service);
  }

  /** Forgets streams that were noted long ago. */
  expire(now: number): void {
    [...this.known]
      .filter(([, { at }]) => now - at >= RETENTION_MS)
      .forEach(([key]) => this.known.delete(key));
  }
}

function keyOf(service: string, id: string): string {
  return `${service}\n${id}`;
}

function partsOf(key: string): Pick<StreamBegin, 'id' | 'service'> {
  const at = key.indexOf('\n');
  return { service: key.slice(0, at), id: key.slice(at + 1) };
}
