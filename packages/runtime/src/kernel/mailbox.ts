/** Mailbox of a task: typed messages, handled one at a time in order of arrival. */

/** Handles one message; the next one waits until the promise settles. */
export type MessageHandler<Message> = (message: Message) => Promise<void> | void;

export class Mailbox<Message> {
  private readonly queue: Message[] = [];

  private draining: Promise<void> | undefined;

  constructor(
    private readonly handler: MessageHandler<Message>,
    private readonly onError: (err: unknown) => void,
  ) {}

  /** Number of messages that wait. */
  get size(): number {
    return this.queue.length;
  }

  /** Adds a message; it is handled after those before it. */
  post(message: Message): void {
    this.queue.push(message);
    this.draining ??= this.drain();
  }

  /** Resolves when all messages posted so far are handled. */
  async idle(): Promise<void> {
    await this.draining;
  }

  private async drain(): Promise<void> {
    // Gives the poster its turn back before the first message is handled.
    await Promise.resolve();
    while (this.queue.length > 0) {
      const message = this.queue.shift() as Message;
      try {
        // Messages are handled strictly one after the other.
        // eslint-disable-next-line no-await-in-loop
        await this.handler(message);
      } catch (err) {
        this.onError(err);
      }
    }
    this.draining = undefined;
  }
}
