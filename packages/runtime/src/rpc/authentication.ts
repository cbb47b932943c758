/**
 * Authentication of messages between daemons: an HMAC-SHA256 with the fleet secret over path,
 * sender, time, nonce and a digest of the body.
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

export const AUTH_HEADER = 'marjoramcart-auth';
export const SENDER_HEADER = 'marjoramcart-sender';

const MAX_SKEW_MS = 30_000;
const NONCE_MEMORY_MS = 60_000;
const NONCE_BYTES = 12;
/** Length of a signature in hexadecimal digits; one in base64url has 43. */
const HEX_MAC_LENGTH = 64;

/** What the signature covers. `content` is the body, or the headers of a streamed message. */
export interface SignedContent {
  readonly path: string;
  /** Boot id of the sending process; empty where the body names the sender. */
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

/** Signs and checks messages. One instance remembers the nonces it has accepted. */
export class MessageAuthenticator {
  private readonly acceptedNonces = new Map<string, number>();

  constructor(
    private readonly secret: string,
    private readonly wallMs: () => number,
  ) {}

  /** Value of the `marjoramcart-auth` header; base64url is 29 bytes shorter than hex. */
  sign(signed: SignedContent, encoding: 'hex' | 'base64url' = 'hex'): string {
    const time = Math.round(this.wallMs());
    const nonce = randomBytes(NONCE_BYTES).toString(encoding);
    return `${time}.${nonce}.${this.mac(signed, time, nonce).toString(encoding)}`;
  }

  /** Checks a header; an accepted nonce is not accepted again. */
  verify(header: string | undefined, signed: SignedContent): AuthResult {
    if (header === undefined) return refused({ kind: 'missing' });
    const [timeText, nonce, mac] = header.split('.');
    const time = Number(timeText);
    if (!nonce || !mac || !Number.isSafeInteger(time)) return refused({ kind: 'malformed' });
    const now = this.wallMs();
    const skewMs = Math.abs(now - time);
    if (skewMs > MAX_SKEW_MS) return refused({ kind: 'skew', skewMs });
    const expected = this.mac(signed, time, nonce);
    const given = Buffer.from(mac, mac.length === HEX_MAC_LENGTH ? 'hex' : 'base64url');
    if (expected.length !== given.length || !timingSafeEqual(expected, given)) {
      return refused({ kind: 'wrong-signature' });
    }
    this.forgetOldNonces(now);
    if (this.acceptedNonces.has(nonce)) return refused({ kind: 'replayed' });
    this.acceptedNonces.set(nonce, now + NONCE_MEMORY_MS);
    return { kind: 'accepted' };
  }

  private mac({ path, sender, content }: SignedContent, time: number, nonce: string): Buffer {
    const digest = createHash('sha256').update(content).digest('hex');
    return createHmac('sha256', this.secret)
      .update([path, sender, time, nonce, digest].join('\n'))
      .digest();
  }

  private forgetOldNonces(now: number): void {
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
