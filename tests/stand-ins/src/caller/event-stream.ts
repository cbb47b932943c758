/** Parser of server-sent events. */

export interface StreamEvent {
  readonly event: string;
  readonly id: string;
  readonly data: string;
}

/** Incremental parser: buffers an incomplete event until the rest of its text arrives. */
export class EventStreamParser {
  readonly events: StreamEvent[] = [];

  private buffered = '';

  push(text: string): StreamEvent[] {
    const frames = (this.buffered + text).split(/\r?\n\r?\n/);
    this.buffered = frames.pop() ?? '';
    const parsed = frames.map(parseFrame);
    this.events.push(...parsed);
    return parsed;
  }
}

function parseFrame(frame: string): StreamEvent {
  const lines = frame.split(/\r?\n/);
  const valuesOf = (field: string): string[] =>
    lines
      .filter((line) => line.startsWith(`${field}:`))
      .map((line) => line.slice(field.length + 1).replace(/^ /, ''));
  return {
    event: valuesOf('event').at(-1) ?? 'message',
    id: valuesOf('id').at(-1) ?? '',
    data: valuesOf('data').join('\n'),
  };
}
