/**
 * One request in the engine: the tokens generated so far and the connection that receives them. All
 * events can be sent again, so that a client can resume a stream.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '../common/http-server.js';
import {
  responseTokens,
  prefixDigest,
  promptText,
  promptTokens,
  type ChatRequest,
} from './chat-completion.js';

export class Generation {
  readonly prompt: string;

  readonly prefix: string;

  readonly promptTokens: number;

  readonly priority: number;

  /** Prompt tokens that are not prefilled yet. */
  remainingPrefillTokens: number;

  cancelled = false;

  private readonly tokens: readonly string[];

  private producedTokens = 0;

  private connection: ServerResponse | undefined;

  constructor(
    readonly id: string,
    readonly req: ChatRequest,
    cachedTokensOf: (prefix: string) => number,
  ) {
    this.prompt = promptText(req);
    this.prefix = prefixDigest(this.prompt);
    this.promptTokens = promptTokens(this.prompt);
    this.priority = req.priority ?? 0;
    this.tokens = responseTokens(req);
    const cached = Math.min(cachedTokensOf(this.prefix), this.promptTokens - 1);
    this.remainingPrefillTokens = this.promptTokens - cached;
  }

  get done(): boolean {
    return this.producedTokens >= this.tokens.length;
  }

  /** Whether a connection receives the response. */
  get attached(): boolean {
    return this.connection !== undefined;
  }

  get remainingTokens(): number {
    return this.tokens.length - this.producedTokens;
  }

  /** Sends the events after `lastEventId` to a connection, and later events once generated. */
  attach(res: ServerResponse, lastEventId = 0): void {
    this.connection = res;
    if (!this.req.stream) return;
    res.writeHead(200, { 'content-type': 'text/event-stream', 'stream-id': this.id });
    res.flushHeaders();
    this.availableEvents()
      .slice(lastEventId)
      .forEach((event) => res.write(event));
    if (this.done) res.end();
  }

  /** Detaches `res`; returns false if it is not the connection of this request. */
  detach(res: ServerResponse): boolean {
    if (this.connection !== res) return false;
    this.connection = undefined;
    return true;
  }

  /** Generates one token and sends it if the request is streamed. */
  produceToken(): void {
    const sentBefore = this.availableEvents().length;
    this.producedTokens += 1;
    if (this.req.stream) {
      this.availableEvents()
        .slice(sentBefore)
        .forEach((event) => this.connection?.write(event));
      if (this.done) this.connection?.end();
    } else if (this.done && this.connection) sendJson(this.connection, 200, this.responseBody());
  }

  /** Aborts the request and closes its connection. */
  cancel(): void {
    this.cancelled = true;
    this.connection?.destroy();
  }

  private availableEvents(): string[] {
    const events = this.tokens
      .slice(0, this.producedTokens)
      .map((content) => this.chunk({ delta: { content }, finish_reason: null }));
    const end = this.chunk({ delta: {}, finish_reason: 'stop' }, this.usage());
    return [...events, ...(this.done ? [end, '[DONE]'] : [])].map(
      (data, n) => `id: ${n + 1}\ndata: ${data}\n\n`,
    );
  }

  private chunk(choice: object, usage?: object): string {
    const { id } = this;
    const choices = [{ index: 0, ...choice }];
    return JSON.stringify({
      id,
      object: 'chat.completion.chunk',
      model: this.req.model,
      choices,
      usage,
    });
  }

  private responseBody(): object {
    const message = { role: 'assistant', content: this.tokens.join('') };
    return {
      id: this.id,
      object: 'chat.completion',
      model: this.req.model,
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.usage(),
    };
  }

  private usage(): object {
    const completionTokens = this.tokens.length;
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: completionTokens,
      total_tokens: this.promptTokens + completionTokens,
    };
  }
}
