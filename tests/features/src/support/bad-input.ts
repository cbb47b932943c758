/** Invalid requests by the name that scenarios use for them. */
import { makeKey, type CallOptions } from '@marjoramcart/stand-ins';
import type { GatewayWorld } from './world.js';

const NESTING_DEPTH = 100;
const OVER_BODY_LIMIT_BYTES = 4 * 1024 * 1024 + 1;
const OVER_HEADER_LIMIT_BYTES = 20 * 1024;
const TWO_HOURS_S = 7200;

export interface BadInput {
  readonly apiKey: string;
  readonly options: CallOptions;
}

/** @throws Error when no input has the name */
export async function badInput(
  name: string,
  world: GatewayWorld,
  customer: string,
  address: string,
): Promise<BadInput> {
  const chat = { method: 'POST', path: '/v1/chat/completions', body: world.chatRequest() };
  const text = `marker:${world.marker}`;
  const booking = { method: 'POST', path: '/svc/crane-booking/slots', body: { note: text } };
  // Also opens the used connection for the input 'headers over 16 KB on a used connection'.
  const [entry] = await world.caller(customer).entries(address);
  const prefix = entry?.key_prefix ?? '';
  const withKey = (key: string): CallOptions => ({
    ...booking,
    headers: { 'idempotency-key': key },
  });
  const inputs: Record<string, CallOptions> = {
    'text that is not JSON': { ...chat, body: `{"model": ${text}` },
    'no messages': { ...chat, body: { model: 'crew-answers', note: text } },
    'JSON nested 100 deep': {
      ...chat,
      body: `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`,
    },
    'a body over 4 MB': { ...chat, body: text.padEnd(OVER_BODY_LIMIT_BYTES), withholdBody: true },
    'a body over 4 MB that is sent completely': {
      ...chat,
      body: text.padEnd(OVER_BODY_LIMIT_BYTES),
    },
    'headers over 16 KB on a used connection': {
      ...chat,
      headers: { 'x-note': 'n'.repeat(OVER_HEADER_LIMIT_BYTES) },
      freshConnection: false,
    },
    'headers over 16 KB': { ...chat, headers: { 'x-note': 'n'.repeat(OVER_HEADER_LIMIT_BYTES) } },
    'a deadline of -5': { ...chat, headers: { 'marjoramcart-deadline-ms': '-5' } },
    'an unknown path': { ...chat, path: '/v2/chat' },
    'an unknown method': { method: 'DELETE', path: '/v1/chat/completions' },
    'no API key': chat,
    'an unknown API key': chat,
    'an unknown service': { ...chat, body: { ...world.chatRequest(), model: 'no-such-service' } },
    'a booking without a key': booking,
    'a booking with a malformed key': withKey('booking-17'),
    'a booking with an expired key': withKey(makeKey(prefix, world.nonce(), -1)),
    'a booking with a key for two hours': withKey(makeKey(prefix, world.nonce(), TWO_HOURS_S)),
  };
  const options = inputs[name];
  if (!options) throw new Error(`no input is named '${name}'`);
  const apiKeys: Record<string, string> = { 'no API key': '', 'an unknown API key': 'key-nobody' };
  return { apiKey: apiKeys[name] ?? customer, options: { freshConnection: true, ...options } };
}
