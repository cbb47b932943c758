/**
 * Splits a stream of server-sent events into complete frames without parsing their data. A frame
 * ends at an empty line. Only `id:` lines and the markers `data: [DONE]` and `event: error` are read.
 */

/** Maximum size of an incomplete frame in the buffer. */
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
  /** Id of the last event received before the stream is resumed. */
  readonly after?: number;
}

const NOTHING = Buffer.alloc(0);

export class SseFrameParser {
  private incomplete: Buffer = NOTHING;

  /** Buffer at whose start the incomplete frame is, with room for more; empty if it is in a chunk. */
  private block: Buffer = NOTHING;

  /** Id of the last complete event; undefined if events have no ids. */
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

  /** Adds a chunk; returns the frames that are now complete, or undefined if there are none. */
  push(chunk: Buffer): Buffer | undefined {
    const data = this.incomplete.length === 0 ? chunk : this.append(chunk);
    const scanFrom = Math.max(0, this.incomplete.length - 3);
    const end = this.scan(data, scanFrom);
    this.incomplete = end === data.length ? NOTHING : data.subarray(end);
    // The caller keeps the frames.
    if (end > 0) this.block = NOTHING;
    if (this.incomplete.length > MAX_FRAME_BYTES) this.error ??= { kind: 'frame-too-large' };
    return end === 0 ? undefined : data.subarray(0, end);
  }

  /** Discards an incomplete frame before the stream is resumed on another connection. */
  reset(): void {
    this.incomplete = NOTHING;
    this.block = NOTHING;
  }

  /**
   * Whether the stream ended at a frame boundary, and after `data: [DONE]` if it uses this marker. One
   * that is resumed after its last event has no further one.
   */
  get complete(): boolean {
    const { doneMarker, after } = this.options;
    const ended = this.done || (!doneMarker && (this.events > 0 || after !== undefined));
    return ended && this.incomplete.length === 0 && this.error === undefined;
  }

  /** Copies each byte of a long frame in many pieces a few times at most, as the block doubles. */
  private append(chunk: Buffer): Buffer {
    const { incomplete, block } = this;
    const size = incomplete.length + chunk.length;
    if (size > block.length) {
      this.block = Buffer.allocUnsafe(Math.max(size, 2 * block.length));
      incomplete.copy(this.block);
    }
    chunk.copy(this.block, incomplete.length);
    return this.block.subarray(0, size);
  }

  private scan(data: Buffer, scanFrom: number): number {
    let start = 0;
    let at = data.indexOf(LF, scanFrom);
    while (at !== -1 && this.error === undefined) {
      const previous = data[at - 1] === CR ? at - 2 : at - 1;
      if (previous >= start && data[previous] === LF) {
        this.addFrame(data.subarray(start, at + 1));
        if (this.error === undefined) start = at + 1;
      }
      at = data.indexOf(LF, at + 1);
    }
    return start;
  }

  private addFrame(frame: Buffer): void {
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

/** Whether one line of the frame consists of exactly these bytes. */
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
