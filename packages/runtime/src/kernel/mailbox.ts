/** Mailbox of a task: a queue of typed messages, handled one at a time in order of arrival. */

/** Handles one message. The next one is handled after the promise has settled. */
export type MessageHandler<Message> = (message: Message) => Promise<void> | void;

export class Mailbox<Message> {
  private readonly queue: Message[] = [];

  private draining: Promise<void> | undefined;

  constructor(
    private readonly handler: MessageHandler<Message>,
    private readonly onError: (err: unknown) => void,
  ) {}

  /** Number of queued messages. */
  get size(): number {
    return this.queue.length;
  }

  /** Adds a message to the end of the queue. */
  post(message: Message): void {
    this.queue.push(message);
    this.draining ??= this.drain();
  }

  /** Resolves once the queue is empty and the last message has been handled. */
  async idle(): Promise<void> {
    await this.draining;
  }

  private async drain(): Promise<void> {
    // Lets `post` return before the first message is handled.
    await Promise.resolve();
    while (this.queue.length > 0) {
      const message = this.queue.shift() as Message;
      try {
        // Messages are handled strictly one at a time.
        // eslint-disable-next-line no-await-in-loop
        await this.handler(message);
      } catch (err) {
        this.onError(err);
      }
    }
    this.draining = undefined;
  }
}
