/**
 * Authentication of messages between daemons. A message is signed with an HMAC-SHA256, keyed with
 * the fleet secret, over its path, sender, time, nonce and a digest of its body.
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

export const AUTH_HEADER = 'marjoramcart-auth';
export const SENDER_HEADER = 'marjoramcart-sender';

const MAX_CLOCK_SKEW_MS = 30_000;
/** Twice the clock skew: a message from a clock that is ahead stays valid for that long. */
const NONCE_TTL_MS = 60_000;
const NONCE_BYTES = 12;
/** Length of a MAC in hexadecimal digits; in base64url it has 43 characters. */
const HEX_MAC_LENGTH = 64;

/** Content covered by a signature. `content` is the body, or the headers of a streamed message. */
export interface SignedContent {
  readonly path: string;
  /** Boot id of the sending process; empty if the body names the sender. */
  readonly sender: string;
  readonly content: string | Buffer;
}

export type AuthFailure =
  | { readonly kind: 'missing' }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'skew'; readonly skewMs: number }
  | { readonly kind: 'replayed' }
  | { readonly kind: 'wrong-signature' };

export type AuthResult =
  { readonly kind: 'accepted' } | { readonly kind: 'refused'; readonly failure: AuthFailure };

/** Signs and verifies messages. Each instance stores the nonces that it has accepted. */
export class MessageAuthenticator {
  private readonly acceptedNonces = new Map<string, number>();

  constructor(
    private readonly secret: string,
    private readonly wallMs: () => number,
  ) {}

  /** Returns the `marjoramcart-auth` header; base64url is 29 bytes shorter than hex. */
  sign(signed: SignedContent, encoding: 'hex' | 'base64url' = 'hex'): string {
    const time = Math.round(this.wallMs());
    const nonce = randomBytes(NONCE_BYTES).toString(encoding);
    return `${time}.${nonce}.${this.mac(signed, time, nonce).toString(encoding)}`;
  }

  /** Verifies a header. A nonce is accepted only once, which prevents replays. */
  verify(header: string | undefined, signed: SignedContent): AuthResult {
    if (header === undefined) return refused({ kind: 'missing' });
    const [timeText, nonce, mac] = header.split('.');
    const time = Number(timeText);
    if (!nonce || !mac || !Number.isSafeInteger(time)) return refused({ kind: 'malformed' });
    const now = this.wallMs();
    const skewMs = Math.abs(now - time);
    if (skewMs > MAX_CLOCK_SKEW_MS) return refused({ kind: 'skew', skewMs });
    const expected = this.mac(signed, time, nonce);
    const received = Buffer.from(mac, mac.length === HEX_MAC_LENGTH ? 'hex' : 'base64url');
    if (expected.length !== received.length || !timingSafeEqual(expected, received)) {
      return refused({ kind: 'wrong-signature' });
    }
    this.removeExpiredNonces(now);
    if (this.acceptedNonces.has(nonce)) return refused({ kind: 'replayed' });
    this.acceptedNonces.set(nonce, now + NONCE_TTL_MS);
    return { kind: 'accepted' };
  }

  private mac({ path, sender, content }: SignedContent, time: number, nonce: string): Buffer {
    const digest = createHash('sha256').update(content).digest('hex');
    return createHmac('sha256', this.secret)
      .update([path, sender, time, nonce, digest].join('\n'))
      .digest();
  }

  private removeExpiredNonces(now: number): void {
    // A Map keeps insertion order, so the oldest nonces come first.
    const oldest = this.acceptedNonces.entries();
    let next = oldest.next();
    while (!next.done && next.value[1] < now) {
      this.acceptedNonces.delete(next.value[0]);
      next = oldest.next();
    }
  }
}

function refused(failure: AuthFailure): AuthResult {
  return { kind: 'refused', failure };
}
