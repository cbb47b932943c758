/** Datagrams with which gateways lease parts of customers' limits from their owners. */
import type { QuotaMessage } from '@marjoramcart/core';
import { match } from 'ts-pattern';
import { z } from 'zod';
import { encodeNotification, type Notification } from '../peers/notification.js';

const ASK_METHOD = 'quota.ask';
const GRANT_METHOD = 'quota.grant';
const PING_METHOD = 'quota.ping';
const PONG_METHOD = 'quota.pong';

/** Rows beyond those of one packet are not accepted. */
const MAX_ROWS = 64;
const name = z.string().min(1).max(256);
const amount = z.number().nonnegative();
const number = z.number().int().nonnegative();
const names = z.array(name).max(MAX_ROWS).default([]);
const sender = { f: name, r: name };

const askParams = z.object({
  ...sender,
  a: z.array(z.tuple([name, number, amount, amount, amount])).max(MAX_ROWS),
  b: z
    .array(z.tuple([name, number, amount.nullable()]))
    .max(MAX_ROWS)
    .default([]),
});
const grantParams = z.object({
  ...sender,
  g: z.array(z.tuple([name, number, z.number(), amount, amount, amount])).max(MAX_ROWS),
});
const pingParams = z.object({ ...sender, d: names, i: names });
const pongParams = z.object(sender);

/** Encodes a message into a datagram; about 45 bytes for each row. */
export function encodeQuotaMessage(message: QuotaMessage): Buffer {
  const { from: f, region: r } = message;
  return match(message)
    .with({ kind: 'ask' }, ({ rows, returns }) =>
      encodeNotification(ASK_METHOD, {
        f,
        r,
        a: rows.map((row) => [
          row.customer,
          row.number,
          Math.ceil(row.first),
          Math.ceil(row.need),
          Math.ceil(row.want),
        ]),
        ...(returns.length > 0
          ? { b: returns.map((row) => [row.customer, row.number, floorOf(row.amount)]) }
          : {}),
      }),
    )
    .with({ kind: 'grant' }, ({ rows }) =>
      encodeNotification(GRANT_METHOD, {
        f,
        r,
        g: rows.map((row) => [
          row.customer,
          row.number,
          row.granting ? 1 : 0,
          Math.floor(row.amount),
          Math.ceil(row.shortMs),
          Math.ceil(row.waitMs),
        ]),
      }),
    )
    .with({ kind: 'ping' }, ({ deputyFor: d, insteadOf: i }) =>
      encodeNotification(PING_METHOD, {
        f,
        r,
        ...(d.length > 0 ? { d: d.slice(0, MAX_ROWS) } : {}),
        ...(i.length > 0 ? { i: i.slice(0, MAX_ROWS) } : {}),
      }),
    )
    .with({ kind: 'pong' }, () => encodeNotification(PONG_METHOD, { f, r }))
    .exhaustive();
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeQuotaMessage(notification: Notification): QuotaMessage | undefined {
  const { method } = notification;
  switch (method) {
    case ASK_METHOD: {
      const { f, r, a, b } = parse(askParams, notification);
      const rows = a.map(([customer, id, first, need, want]) => ({
        customer,
        number: id,
        first,
        need,
        want,
      }));
      const returns = b.map(([customer, id, unused]) => ({
        customer,
        number: id,
        amount: unused ?? undefined,
      }));
      return { kind: 'ask', from: f, region: r, rows, returns };
    }
    case GRANT_METHOD: {
      const { f, r, g } = parse(grantParams, notification);
      const rows = g.map(([customer, id, granting, granted, shortMs, waitMs]) => ({
        customer,
        number: id,
        granting: granting === 1,
        amount: granted,
        shortMs,
        waitMs,
      }));
      return { kind: 'grant', from: f, region: r, rows };
    }
    case PING_METHOD: {
      const { f, r, d, i } = parse(pingParams, notification);
      return { kind: 'ping', from: f, region: r, deputyFor: d, insteadOf: i };
    }
    case PONG_METHOD: {
      const { f, r } = parse(pongParams, notification);
      return { kind: 'pong', from: f, region: r };
    }
    default:
      return undefined;
  }
}

/** The library's errors list each malformed field, which would make the log line as long as the datagram. */
function parse<Params>(schema: z.ZodType<Params>, { method, params }: Notification): Params {
  const result = schema.safeParse(params);
  if (!result.success) throw new TypeError(`malformed parameters of ${method}`);
  return result.data;
}

function floorOf(unused: number | undefined): number | null {
  return unused === undefined ? null : Math.floor(unused);
}
