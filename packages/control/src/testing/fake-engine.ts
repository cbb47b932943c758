/** In-process engine without sockets, for unit tests of orders. */
import type { EngineModel, EngineOrder } from '@marjoramcart/core';

/** An order as it reached the engine. */
export interface ReceivedOrder {
  readonly fencing: number;
  readonly order: EngineOrder;
}

/** An engine that carries out orders at once; it may check fencing or ignore it. */
export class FakeEngine {
  models: EngineModel[] = [];

  highestFencing = 0;

  readonly receivedOrders: ReceivedOrder[] = [];

  /** Runs while a load report is on its way to the control daemon. */
  onLoad = (): void => {};

  failLoads = false;

  constructor(private readonly checksFencing: boolean) {}

  load() {
    const { models } = this;
    this.onLoad();
    const value = { state: 'live', models, role: 'mixed', highest_fencing: this.highestFencing };
    return Promise.resolve({ kind: 'ok', value });
  }

  order(_address: string, sent: ReceivedOrder) {
    if (this.checksFencing && sent.fencing < this.highestFencing) {
      const body = { highest_fencing: this.highestFencing };
      return Promise.resolve({ kind: 'refused', status: 409, body });
    }
    if (this.checksFencing) this.highestFencing = sent.fencing;
    this.receivedOrders.push(sent);
    const { kind, model, version } = sent.order;
    this.models = this.models.filter((m) => m.model !== model || m.version !== version);
    const state = this.failLoads ? 'failed' : 'ready';
    if (kind === 'load') this.models.push({ model, version, state, adapters: [] });
    return Promise.resolve({ kind: 'ok', value: {} });
  }
}
