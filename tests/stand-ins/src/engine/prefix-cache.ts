/**
 * Prefix cache of limited size that evicts the least recently stored prefix. Its events are published
 * after a delay, and some are dropped.
 */
import { type RandomSource } from '@marjoramcart/core';

interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

export interface CacheOptions {
  readonly maxTokens: number;
  readonly eventDelayMs: () => number;
  /** Share of the events that are dropped, from 0 to 1. */
  readonly eventLoss: () => number;
  readonly random: RandomSource;
}

const MAX_EVENTS = 1000;

export class PrefixCache {
  private readonly entries = new Map<string, number>();

  private events: CacheEvent[] = [];

  private sequence = 0;

  constructor(private readonly options: CacheOptions) {}

  /** Number of cached tokens of a prefix; 0 when it is not cached. */
  cachedTokensOf(prefix: string): number {
    return this.entries.get(prefix) ?? 0;
  }

  store(prefix: string, tokens: number): void {
    const cachedTokens = this.entries.get(prefix) ?? 0;
    this.entries.delete(prefix);
    this.entries.set(prefix, Math.max(cachedTokens, Math.min(tokens, this.options.maxTokens)));
    if (cachedTokens === 0) this.publish('stored', prefix);
    this.evict();
  }

  /** Published events with a sequence number above the given one. */
  eventsAfter(sequence: number): { next: number; events: CacheEvent[] } {
    const events = this.events.filter((event) => event.sequence > sequence);
    return { next: events.at(-1)?.sequence ?? sequence, events };
  }

  private evict(): void {
    const total = [...this.entries.values()].reduce((sum, tokens) => sum + tokens, 0);
    const [oldest] = this.entries.keys();
    if (total <= this.options.maxTokens || oldest === undefined) return;
    this.entries.delete(oldest);
    this.publish('evicted', oldest);
    this.evict();
  }

  private publish(kind: CacheEvent['kind'], prefix: string): void {
    this.sequence += 1;
    const event = { sequence: this.sequence, kind, prefix };
    if (this.options.random.next() < this.options.eventLoss()) return;
    setTimeout(() => {
      this.events = [...this.events, event].slice(-MAX_EVENTS);
    }, this.options.eventDelayMs());
  }
}
