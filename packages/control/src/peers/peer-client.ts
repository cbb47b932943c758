/** Fetches the configuration and the list of VMs from a peer that has a newer version. */
import { applyDelta, sectionHashes } from '@marjoramcart/core';
import type { Logger, RpcClient } from '@marjoramcart/runtime';
import type { ChangeSource, ControlState } from '../control-state.js';

/** A whole configuration of 25,000 customers is several MB. */
const FETCH_TIMEOUT_MS = 2500;

export interface PeerClientOptions {
  readonly state: ControlState;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
}

export class PeerClient {
  constructor(private readonly options: PeerClientOptions) {}

  /** Fetches and applies the newer sections of the peer's configuration; ignores a failed fetch. */
  async fetchConfig(address: string, source: ChangeSource): Promise<void> {
    const { state, rpc, log } = this.options;
    const base = state.config.current;
    const params = {
      from: state.self,
      held: sectionHashes(base),
      revision: state.config.revision,
    };
    const result = await rpc.call(address, 'config.fetch', params, FETCH_TIMEOUT_MS);
    const delta = result.kind === 'ok' ? result.value.delta : undefined;
    if (!delta) return;
    const applied = applyDelta(base, delta);
    if (applied.kind === 'rejected') {
      log.warn('ignored a corrupt configuration from a peer', {
        peer: address,
        reason: applied.error.kind,
      });
    } else if (state.applySnapshot(applied.snapshot, source)) {
      log.info('applied the configuration from a peer', { revision: delta.revision });
    }
  }

  /** Fetches and applies the peer's list of VMs if it is newer. */
  async fetchVms(address: string, source: ChangeSource): Promise<void> {
    const { state, rpc } = this.options;
    const params = { from: state.self, version: state.vms.current.version };
    const result = await rpc.call(address, 'vms.fetch', params, FETCH_TIMEOUT_MS);
    if (result.kind === 'ok' && result.value.list) state.applyVmList(result.value.list, source);
  }
}
