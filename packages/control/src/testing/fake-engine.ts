/** Engine without sockets, for unit tests of orders. */
import type { EngineModel, EngineOrder } from '@marjoramcart/core';

/** An order as the engine received it. */
export interface ReceivedOrder {
  readonly fencing: number;
  readonly order: EngineOrder;
}

/** Engine that executes orders at once; it checks or ignores fencing numbers. */
export class FakeEngine {
  models: EngineModel[] = [];

  highestFencing = 0;

  readonly receivedOrders: ReceivedOrder[] = [];

  /** Called while a load report is in transit to the control daemon. */
  onReadLoadReport = (): void => {};

  failLoads = false;

  constructor(private readonly checksFencing: boolean) {}

  readLoadReport() {
    const { models } = this;
    this.onReadLoadReport();
    const value = { state: 'live', models, role: 'mixed', highest_fencing: this.highestFencing };
    return Promise.resolve({ kind: 'ok', value });
  }

  sendOrder(_address: string, sent: ReceivedOrder) {
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
