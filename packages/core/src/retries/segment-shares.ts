/** Finds prompt segments that nearly all requests of a route share, such as its system prompt. */

/** Requests of a route that are considered. */
const WINDOW = 32;
const MIN_REQUESTS = 8;
const COMMON_SHARE = 0.8;
const MAX_ROUTES = 256;
const MAX_KEYS = 4000;

export class SegmentShares {
  /** Segments of the latest requests of each route, oldest first. */
  private readonly requests = new Map<string, readonly (readonly string[])[]>();

  /** Route of the latest request with a segment. */
  private readonly routes = new Map<string, string>();

  /**
   * Notes a request.
   *
   * @example shares.add('chat', ['system', 'document'])
   */
  add(route: string, segments: readonly string[]): void {
    const latest = [...(this.requests.get(route) ?? []).slice(1 - WINDOW), segments];
    setLatest(this.requests, route, latest, MAX_ROUTES);
    segments.forEach((segment) => setLatest(this.routes, segment, route, MAX_KEYS));
  }

  /** Whether nearly all requests of a segment's route have it. */
  isCommon(segment: string): boolean {
    const route = this.routes.get(segment);
    const latest = (route === undefined ? undefined : this.requests.get(route)) ?? [];
    if (latest.length < MIN_REQUESTS) return false;
    const count = latest.filter((segments) => segments.includes(segment)).length;
    return count >= COMMON_SHARE * latest.length;
  }
}

/** Sets the newest entry of a map and drops the oldest one beyond its limit. */
function setLatest<T>(map: Map<string, T>, key: string, value: T, max: number): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > max && oldest !== undefined) map.delete(oldest);
}
