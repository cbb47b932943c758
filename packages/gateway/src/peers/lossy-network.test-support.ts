/** Network between the gateways of a simulated fleet; loses a part of the datagrams. */
import type { RandomSource } from '@marjoramcart/core';
import type { ManualTimerService } from '@marjoramcart/runtime';
import type { DatagramPort } from './datagram-port.js';

const LOCAL_DELAY_MS = 1;
const REMOTE_DELAY_MS = 80;
const USUAL_LOSS = 0.01;

interface Datagram {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly bytes: Buffer;
}

export class LossyNetwork {
  /** Share of the datagrams that are lost. */
  loss = USUAL_LOSS;

  private inFlight: Datagram[] = [];

  private readonly receivers = new Map<string, (datagram: Buffer, ip: string) => void>();

  constructor(
    private readonly timers: ManualTimerService,
    private readonly regionOf: ReadonlyMap<string, string>,
    private readonly random: RandomSource,
  ) {}

  port(ip: string): DatagramPort {
    return {
      open: (onDatagram) => {
        this.receivers.set(ip, onDatagram);
        return Promise.resolve();
      },
      send: (bytes, to) => this.send(ip, to, bytes),
      close: () => {
        this.receivers.delete(ip);
        return Promise.resolve();
      },
    };
  }

  deliver(): void {
    const now = this.timers.now();
    const due = this.inFlight.filter(({ at }) => at <= now);
    this.inFlight = this.inFlight.filter(({ at }) => at > now);
    due.forEach(({ from, to, bytes }) => this.receivers.get(to)?.(bytes, from));
  }

  private send(from: string, to: string, bytes: Buffer): void {
    if (this.random.next() < this.loss) return;
    const isLocal = this.regionOf.get(from) === this.regionOf.get(to);
    const delayMs = isLocal ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
    this.inFlight.push({ at: this.timers.now() + delayMs, from, to, bytes });
  }
}
