/** Decides whose request it is, from the key of a caller or the customer that a gateway names. */
import type { CustomerDirectory } from './customer-directory.js';
import type { FleetCustomer } from './fleet-config.js';

/** API key of a request as far as it was read. */
export type ApiKey =
  | { readonly kind: 'missing' }
  | { readonly kind: 'malformed' }
  /** The request has the header several times. */
  | { readonly kind: 'repeated' }
  /** SHA-256 digest of the key, hexadecimal. */
  | { readonly kind: 'digest'; readonly digest: string };

/** What a request says about its customer. */
export interface Credentials {
  readonly apiKey: ApiKey;
  /** Customer that the gateway named that forwarded the request. */
  readonly forwardedFor?: string;
  /** Whether the route of the request needs no key. */
  readonly isPublic: boolean;
}

/** What a gateway knows about its own configuration. */
export interface KeyFreshness {
  /** Time since the last contact with the source, ms. */
  readonly sourceAgeMs: number;
  /** How long a newer configuration than the one in force has been known, ms; 0 if none is known. */
  readonly configBehindMs: number;
  /** How long removed keys may be accepted without contact with the source, ms. */
  readonly revokeMs: number;
  /** Whether no key is accepted after that time. */
  readonly revokeFailClosed: boolean;
}

/** Why a request is not accepted. */
export const AuthFailure = {
  Missing: 'missing',
  Malformed: 'malformed',
  Repeated: 'repeated',
  Unknown: 'unknown',
  /** Several customers have the key. */
  Shared: 'shared',
  /** Keys may have been added or removed since, of which this gateway can't know. */
  Outdated: 'outdated',
} as const;
export type AuthFailure = (typeof AuthFailure)[keyof typeof AuthFailure];

export type AuthVerdict =
  /** Without a customer for requests of public routes. */
  | { readonly kind: 'accepted'; readonly customer?: FleetCustomer }
  /** A newer configuration is known, which may have the key. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refused'; readonly failure: AuthFailure };

/** A key that is not known may have been added when the source was not heard of for this time. */
const UNKNOWN_KEY_CONTACT_MS = 2500;

/**
 * Decides whose request it is.
 *
 * @example authenticate(directory, credentials, freshness).kind // 'accepted'
 */
export function authenticate(
  directory: CustomerDirectory,
  { apiKey, forwardedFor, isPublic }: Credentials,
  freshness: KeyFreshness,
): AuthVerdict {
  if (!isPublic && isRevocationOverdue(freshness)) return refused(AuthFailure.Outdated);
  if (forwardedFor !== undefined) {
    const customer = directory.byName(forwardedFor);
    return customer ? { kind: 'accepted', customer } : onUnknown(freshness);
  }
  const match =
    apiKey.kind === 'digest' ? directory.matchKey(apiKey.digest) : ({ kind: 'none' } as const);
  if (match.kind === 'known') return { kind: 'accepted', customer: match.customer };
  if (isPublic) return { kind: 'accepted' };
  if (match.kind === 'shared') return refused(AuthFailure.Shared);
  return apiKey.kind === 'digest' ? onUnknown(freshness) : refused(apiKey.kind);
}

/** Whether a key may have been removed for longer than it may be accepted. */
function isRevocationOverdue(freshness: KeyFreshness): boolean {
  const { sourceAgeMs, configBehindMs, revokeMs, revokeFailClosed } = freshness;
  return revokeFailClosed && Math.max(sourceAgeMs, configBehindMs) > revokeMs;
}

function onUnknown({ sourceAgeMs, configBehindMs }: KeyFreshness): AuthVerdict {
  if (configBehindMs > 0) return { kind: 'wait' };
  const isCut = sourceAgeMs > UNKNOWN_KEY_CONTACT_MS;
  return refused(isCut ? AuthFailure.Outdated : AuthFailure.Unknown);
}

function refused(failure: AuthFailure): AuthVerdict {
  return { kind: 'refused', failure };
}
