/** In-process engine without sockets, for unit tests of orders. */
import type { EngineModel, EngineOrder } from '@marjoramcart/core';

/** An order as it reached the engine. */
export interface SentOrder {
  readonly fencing: number;
  readonly order: EngineOrder;
}

/** An engine that carries out orders at once; it may check fencing or ignore it. */
export class FakeEngine {
  models: EngineModel[] = [];

  highest = 0;

  readonly sent: SentOrder[] = [];

  /** Runs while a load report is on its way to the control daemon. */
  onLoad = (): void => {};

  failing = false;

  constructor(private readonly checksFencing: boolean) {}

  load() {
    const { models } = this;
    this.onLoad();
    const value = { state: 'live', models, role: 'mixed', highest_fencing: this.highest };
    return Promise.resolve({ kind: 'ok', value });
  }

  order(_address: string, sent: SentOrder) {
    if (this.checksFencing && sent.fencing < this.highest) {
      const body = { highest_fencing: this.highest };
      return Promise.resolve({ kind: 'refused', status: 409, body });
    }
    if (this.checksFencing) this.highest = sent.fencing;
    this.sent.push(sent);
    const { kind, model, version } = sent.order;
    this.models = this.models.filter((m) => m.model !== model || m.version !== version);
    const state = this.failing ? 'failed' : 'ready';
    if (kind === 'load') this.models.push({ model, version, state, adapters: [] });
    return Promise.resolve({ kind: 'ok', value: {} });
  }
}
