/** Fetches of the configuration and the list of VMs from a peer that holds a newer one. */
import { applyDelta, sectionHashes } from '@marjoramcart/core';
import type { Logger, RpcClient } from '@marjoramcart/runtime';
import type { ChangeSource, ControlState } from '../control-state.js';

/** A whole configuration of 25,000 customers is some MB. */
const FETCH_TIMEOUT_MS = 2500;

export interface PeerClientOptions {
  readonly state: ControlState;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
}

export class PeerClient {
  constructor(private readonly options: PeerClientOptions) {}

  /** Takes the newer sections of the peer's configuration into force; a failed fetch changes nothing. */
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
      log.warn('configuration of a peer is corrupt, ignored', {
        peer: address,
        reason: applied.error.kind,
      });
    } else if (state.applySnapshot(applied.snapshot, source)) {
      log.info('configuration taken from a peer', { revision: delta.revision });
    }
  }

  /** Takes the peer's list of VMs if it is newer. */
  async fetchVms(address: string, source: ChangeSource): Promise<void> {
    const { state, rpc } = this.options;
    const params = { from: state.self, version: state.vms.current.version };
    const result = await rpc.call(address, 'vms.fetch', params, FETCH_TIMEOUT_MS);
    if (result.kind === 'ok' && result.value.list) state.applyVmList(result.value.list, source);
  }
}
