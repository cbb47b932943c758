/** Parser of server-sent events. */

export interface StreamEvent {
  readonly event: string;
  readonly id: string;
  readonly data: string;
}

/** Collects events from text that arrives in pieces. */
export class EventStreamParser {
  readonly events: StreamEvent[] = [];

  private rest = '';

  push(text: string): StreamEvent[] {
    const frames = (this.rest + text).split(/\r?\n\r?\n/);
    this.rest = frames.pop() ?? '';
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
