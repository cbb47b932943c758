/** Reads one response of the gateway into a `CallResult`. */
import type { IncomingMessage } from 'node:http';
import type { CallResult, ErrorBody } from './call-result.js';
import { EventStreamParser, type StreamEvent } from './event-stream.js';

export class ResponseReader {
  broken: string | undefined;

  private res: IncomingMessage | undefined;

  private text = '';

  private firstTokenMs = 0;

  private readonly parser = new EventStreamParser();

  /** @param sentAt time at which the request was sent, in ms of `performance.now()` */
  constructor(
    private readonly sentAt: number,
    private readonly onEvent: (event: StreamEvent) => void = () => {},
  ) {}

  get started(): boolean {
    return this.res !== undefined;
  }

  read(res: IncomingMessage): void {
    this.res = res;
    if (!this.isStream) this.firstTokenMs = performance.now() - this.sentAt;
    res.setEncoding('utf8');
    res.on('data', (chunk: string) => {
      this.text += chunk;
      if (!this.isStream) return;
      const events = this.parser.push(chunk);
      if (events.length > 0 && this.firstTokenMs === 0)
        this.firstTokenMs = performance.now() - this.sentAt;
      events.forEach(this.onEvent);
    });
    res.on('error', (err) => {
      this.broken ??= err.message;
    });
  }

  result(): CallResult {
    const { events } = this.parser;
    const headers = this.res?.headers ?? {};
    const error = this.errorBody();
    const ended = this.res?.complete === true;
    const done = !this.isStream || events.at(-1)?.data === '[DONE]';
    return {
      status: this.res?.statusCode ?? 0,
      headers,
      code: error?.code ?? Number(headers['marjoramcart-code'] ?? 0),
      run: error?.run ?? String(headers['marjoramcart-run'] ?? ''),
      complete: ended && done && error === undefined,
      text: this.text,
      events,
      error,
      firstTokenMs: this.firstTokenMs,
      broken: this.broken,
    };
  }

  private get isStream(): boolean {
    return String(this.res?.headers['content-type'] ?? '').startsWith('text/event-stream');
  }

  private errorBody(): ErrorBody | undefined {
    const errorEvent = this.parser.events.find(({ event }) => event === 'error');
    const isError = (this.res?.statusCode ?? 0) >= 400;
    if (!errorEvent && !isError) return undefined;
    try {
      const body = JSON.parse(errorEvent?.data ?? this.text) as { error?: ErrorBody };
      return body.error;
    } catch {
      return undefined;
    }
  }
}
