/** Compact text form of beats and process ids; beats of a large fleet have to fit into one packet. */
import { GatewayPhase, type GatewayBeat, type ReachSign } from '@marjoramcart/core';

/** A beat has no code of its own for a gateway that finishes; its record says that it does. */
const PHASES = [
  GatewayPhase.Starting,
  GatewayPhase.Ready,
  GatewayPhase.Draining,
  GatewayPhase.Closing,
] as const;
const ID_BYTES = 3;
/** Process id, and a byte with the count of changes. */
const REACH_BYTES = 4;
/** Process id, and a byte with the age and the phase. */
const BEAT_BYTES = 4;
/** Unit in which ages are sent, ms, and the largest number of units. */
const AGE_UNIT_MS = 100;
const MAX_AGE_UNITS = 63;

/**
 * Ages are rounded up to 100 ms, so that a beat does not get younger while it is relayed; those above
 * 6.3 s are sent as that.
 *
 * @example packBeats([{ processId: 1, phase: 'ready', ageMs: 0 }]) // 'AAABAQ=='
 */
export function packBeats(beats: readonly GatewayBeat[]): string {
  const bytes = Buffer.alloc(beats.length * BEAT_BYTES);
  beats.forEach(({ processId, phase, ageMs }, index) => {
    const start = index * BEAT_BYTES;
    const units = Math.min(MAX_AGE_UNITS, Math.max(0, Math.ceil(ageMs / AGE_UNIT_MS)));
    bytes.writeUIntBE(processId, start, ID_BYTES);
    bytes.writeUInt8(units * PHASES.length + phaseCode(phase), start + ID_BYTES);
  });
  return bytes.toString('base64');
}

function phaseCode(phase: GatewayPhase): number {
  return PHASES.indexOf(phase === GatewayPhase.Finishing ? GatewayPhase.Draining : phase);
}

/** Bytes after the last whole beat are ignored. */
export function unpackBeats(text: string): GatewayBeat[] {
  const bytes = Buffer.from(text, 'base64');
  return Array.from({ length: Math.floor(bytes.length / BEAT_BYTES) }, (_, index) => {
    const start = index * BEAT_BYTES;
    const state = bytes.readUInt8(start + ID_BYTES);
    return {
      processId: bytes.readUIntBE(start, ID_BYTES),
      phase: PHASES[state % PHASES.length] as GatewayPhase,
      ageMs: Math.floor(state / PHASES.length) * AGE_UNIT_MS,
    };
  });
}

/** @example packReachSigns([{ processId: 1, changes: 1 }]) // 'AAABAQ==' */
export function packReachSigns(signs: readonly ReachSign[]): string {
  const bytes = Buffer.alloc(signs.length * REACH_BYTES);
  signs.forEach(({ processId, changes }, index) => {
    const start = index * REACH_BYTES;
    bytes.writeUIntBE(processId, start, ID_BYTES);
    bytes.writeUInt8(changes, start + ID_BYTES);
  });
  return bytes.toString('base64');
}

/** Bytes after the last whole sign are ignored. */
export function unpackReachSigns(text: string): ReachSign[] {
  const bytes = Buffer.from(text, 'base64');
  return Array.from({ length: Math.floor(bytes.length / REACH_BYTES) }, (_, index) => ({
    processId: bytes.readUIntBE(index * REACH_BYTES, ID_BYTES),
    changes: bytes.readUInt8(index * REACH_BYTES + ID_BYTES),
  }));
}

/** @example packProcessIds([1]) // 'AAAB' */
export function packProcessIds(ids: readonly number[]): string {
  const bytes = Buffer.alloc(ids.length * ID_BYTES);
  ids.forEach((id, index) => bytes.writeUIntBE(id, index * ID_BYTES, ID_BYTES));
  return bytes.toString('base64');
}

/** Bytes after the last whole id are ignored. */
export function unpackProcessIds(text: string): number[] {
  const bytes = Buffer.from(text, 'base64');
  return Array.from({ length: Math.floor(bytes.length / ID_BYTES) }, (_, index) =>
    bytes.readUIntBE(index * ID_BYTES, ID_BYTES),
  );
}
