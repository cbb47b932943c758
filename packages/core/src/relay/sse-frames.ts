/**
 * Splits server-sent events into whole frames without parsing their data. Frames end at an empty
 * line. Only the `id:` line and the markers `data: [DONE]` and `event: error` are looked at.
 */

/** Longest frame that is held while it is incomplete. */
export const MAX_FRAME_BYTES = 1024 * 1024;

const LF = 10;
const CR = 13;
const DIGIT_0 = 48;
const DIGIT_9 = 57;
const SPACE = 32;
const ID_LINE = Buffer.from('id:');
const NEXT_ID_LINE = Buffer.from('\nid:');
const DONE_LINE = Buffer.from('data: [DONE]');
const ERROR_LINE = Buffer.from('event: error');

export type FrameError =
  | { readonly kind: 'frame-too-large' }
  | { readonly kind: 'id-out-of-order'; readonly expected: number; readonly got: number }
  | { readonly kind: 'data-after-done' };

export interface SseFrameOptions {
  /** Whether a complete stream ends with `data: [DONE]`. */
  readonly doneMarker: boolean;
  /** Event after which the stream goes on. */
  readonly after?: number;
}

export class SseFrameParser {
  private rest: Buffer = Buffer.alloc(0);

  /** Number of the last whole event; undefined when events have no numbers. */
  lastId: number | undefined;

  constructor(private readonly options: SseFrameOptions = { doneMarker: true }) {
    this.lastId = options.after;
  }

  /** Whether `data: [DONE]` was seen. */
  done = false;

  /** Whether the sender reported an error in the stream. */
  errorSeen = false;

  /** Events seen so far. */
  events = 0;

  error: FrameError | undefined;

  /** Adds a chunk; returns the whole frames in it, or undefined when there is none. */
  push(chunk: Buffer): Buffer | undefined {
    const data = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const scanFrom = Math.max(0, this.rest.length - 3);
    const end = this.scan(data, scanFrom);
    this.rest = end === data.length ? Buffer.alloc(0) : data.subarray(end);
    if (this.rest.length > MAX_FRAME_BYTES) this.error ??= { kind: 'frame-too-large' };
    return end === 0 ? undefined : data.subarray(0, end);
  }

  /** Drops an incomplete frame, before the stream is resumed on another connection. */
  reset(): void {
    this.rest = Buffer.alloc(0);
  }

  /** Whether the stream ended at a frame boundary, after `data: [DONE]` if it has this marker. */
  get complete(): boolean {
    const ended = this.done || (!this.options.doneMarker && this.events > 0);
    return ended && this.rest.length === 0 && this.error === undefined;
  }

  private scan(data: Buffer, scanFrom: number): number {
    let start = 0;
    let at = data.indexOf(LF, scanFrom);
    while (at !== -1 && this.error === undefined) {
      const previous = data[at - 1] === CR ? at - 2 : at - 1;
      if (previous >= start && data[previous] === LF) {
        this.frame(data.subarray(start, at + 1));
        if (this.error === undefined) start = at + 1;
      }
      at = data.indexOf(LF, at + 1);
    }
    return start;
  }

  private frame(frame: Buffer): void {
    if (this.done) {
      this.error = { kind: 'data-after-done' };
      return;
    }
    const id = frameId(frame);
    if (id !== undefined) {
      const expected = (this.lastId ?? 0) + 1;
      if (id !== expected) {
        this.error = { kind: 'id-out-of-order', expected, got: id };
        return;
      }
      this.lastId = id;
    }
    this.events += 1;
    if (!this.options.doneMarker) return;
    if (hasLine(frame, DONE_LINE)) this.done = true;
    else if (hasLine(frame, ERROR_LINE)) this.errorSeen = true;
  }
}

function frameId(frame: Buffer): number | undefined {
  const first = startsWith(frame, ID_LINE, 0);
  const at = first ? 0 : frame.indexOf(NEXT_ID_LINE) + 1;
  if (!first && at === 0) return undefined;
  let index = at + ID_LINE.length;
  if (frame[index] === SPACE) index += 1;
  let value = 0;
  let byte = frame[index];
  if (byte === undefined || byte < DIGIT_0 || byte > DIGIT_9) return undefined;
  while (byte !== undefined && byte >= DIGIT_0 && byte <= DIGIT_9) {
    value = value * 10 + (byte - DIGIT_0);
    index += 1;
    byte = frame[index];
  }
  return value;
}

/** Whether the frame has a line that starts with these bytes and ends with them. */
function hasLine(frame: Buffer, line: Buffer): boolean {
  const at = frame.indexOf(line);
  if (at === -1) return false;
  const before = at === 0 || frame[at - 1] === LF;
  const after = frame[at + line.length];
  return before && (after === LF || after === CR);
}

function startsWith(frame: Buffer, prefix: Buffer, at: number): boolean {
  return (
    frame.length >= at + prefix.length &&
    frame.compare(prefix, 0, prefix.length, at, at + prefix.length) === 0
  );
}
