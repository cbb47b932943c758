/** Which targets may go on with a stream, by the version of their software. */

export type VersionScope =
  /** No event of the stream was delivered yet. */
  | { readonly kind: 'any' }
  /** Targets of other versions write events that do not fit to those delivered before. */
  | { readonly kind: 'only'; readonly version: string }
  /** Events were delivered by a version that is not known. */
  | { readonly kind: 'none' };

export const ANY_VERSION: VersionScope = { kind: 'any' };

/**
 * Scope of a stream whose events came from a version.
 *
 * @example scopeOfVersion('v2') // { kind: 'only', version: 'v2' }
 */
export function scopeOfVersion(version: string | undefined): VersionScope {
  return version === undefined ? { kind: 'none' } : { kind: 'only', version };
}

/** Whether a target of a version may go on with a stream; undefined if its version is not known. */
export function allowsVersion(scope: VersionScope, version: string | undefined): boolean {
  return scope.kind === 'any' || (scope.kind === 'only' && scope.version === version);
}

/** Version of the target that a stream comes from. */
export interface StreamSource {
  /** Undefined if it is not known, or not yet. */
  readonly version: string | undefined;
  /**
   * Tells what is proved; present while it is not proved that the target has not started again with
   * another version. `version` is a guess as long.
   */
  readonly check?: () => VersionCheck;
  /**
   * Asks the target, until `check` is settled.
   *
   * @param limitMs longest wait, ms
   */
  readonly prove?: (limitMs?: number) => Promise<void>;
}

export type VersionCheck =
  /** The target has not told yet whether it had restarted. */
  { readonly kind: 'pending' } | { readonly kind: 'settled'; readonly version: string | undefined };
