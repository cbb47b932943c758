/** Compact text form of the demand for a service; that of 20 customers takes some 230 bytes. */
import type { CustomerDemand, ServiceDemand } from '@marjoramcart/core';

/** Service, and its packed demand. */
export type DemandWireRow = readonly [service: string, packed: string];

/** Demand for a service at the gateway that tells it. */
export interface DemandRow {
  readonly service: string;
  readonly demand: ServiceDemand;
}

const NUMBER_BYTES = 2;
const KEY_BYTES = 4;
/** Refused, overloaded, and the number, demand and admitted work of the customers not listed. */
const HEAD_BYTES = 5 * NUMBER_BYTES;
const ROW_BYTES = KEY_BYTES + 2 * NUMBER_BYTES;
const MAX_NUMBER = 0xff_ff;
/** Rates are sent as logarithms in steps of 0.03%, up to 10^9 units per second. */
const STEPS_PER_E_FOLD = 3160;

/** @example toDemandWireRow({ service: 'chat', demand }) // ['chat', 'AAAAAAAAAAAAAA=='] */
export function toDemandWireRow({ service, demand }: DemandRow): DemandWireRow {
  const { refused, overloaded, customers, rest } = demand;
  const bytes = Buffer.alloc(HEAD_BYTES + customers.length * ROW_BYTES);
  const head = [
    packRate(refused),
    packRate(overloaded),
    Math.min(MAX_NUMBER, rest.customers),
    packRate(rest.asked),
    packRate(rest.admitted),
  ];
  head.forEach((number, index) => bytes.writeUInt16BE(number, index * NUMBER_BYTES));
  customers.forEach(({ key, asked, admitted }, index) => {
    const start = HEAD_BYTES + index * ROW_BYTES;
    bytes.writeUInt32BE(key, start);
    bytes.writeUInt16BE(packRate(asked), start + KEY_BYTES);
    bytes.writeUInt16BE(packRate(admitted), start + KEY_BYTES + NUMBER_BYTES);
  });
  return [service, bytes.toString('base64')];
}

/** Bytes after the last whole customer are ignored; undefined when the row is too short. */
export function fromDemandWireRow([service, packed]: DemandWireRow): DemandRow | undefined {
  const bytes = Buffer.from(packed, 'base64');
  if (bytes.length < HEAD_BYTES) return undefined;
  const rateAt = (start: number): number => unpackRate(bytes.readUInt16BE(start));
  const count = Math.floor((bytes.length - HEAD_BYTES) / ROW_BYTES);
  const customers = Array.from({ length: count }, (_, index): CustomerDemand => {
    const start = HEAD_BYTES + index * ROW_BYTES;
    return {
      key: bytes.readUInt32BE(start),
      asked: rateAt(start + KEY_BYTES),
      admitted: rateAt(start + KEY_BYTES + NUMBER_BYTES),
    };
  });
  const demand = {
    refused: rateAt(0),
    overloaded: rateAt(NUMBER_BYTES),
    customers,
    rest: {
      customers: bytes.readUInt16BE(2 * NUMBER_BYTES),
      asked: rateAt(3 * NUMBER_BYTES),
      admitted: rateAt(4 * NUMBER_BYTES),
    },
  };
  return { service, demand };
}

function packRate(perS: number): number {
  return Math.min(MAX_NUMBER, Math.round(Math.log1p(Math.max(0, perS)) * STEPS_PER_E_FOLD));
}

function unpackRate(packed: number): number {
  return Math.expm1(packed / STEPS_PER_E_FOLD);
}
