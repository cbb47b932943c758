/** Models that an engine has loaded; orders with fencing numbers load and unload them. */
import http from 'node:http';

export interface ModelState {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: 'ready' | 'loading' | 'failed';
  readonly message?: string;
}

export interface Order {
  readonly kind: 'load' | 'unload' | 'set-role';
  readonly model?: string;
  readonly version?: string;
  readonly adapters?: readonly string[];
  readonly role?: string;
}

export interface OrderMessage {
  readonly fencing: number;
  readonly valid_for_ms: number;
  readonly order: Order;
}

export class ModelTable {
  models: ModelState[];

  role = 'mixed';

  highestFencing = 0;

  /** @param weightsUrl base URL of the weight store; if absent, models load without a download */
  constructor(
    ready: readonly string[],
    private readonly checksFencing: boolean,
    private readonly weightsUrl: string | undefined,
    private readonly failsVersion: (version: string) => boolean,
  ) {
    this.models = ready.map((text) => {
      const [model = '', version = '1'] = text.split(':');
      return { model, version, adapters: [], state: 'ready' };
    });
  }

  isReady(model: string): boolean {
    return this.models.some((entry) => entry.model === model && entry.state === 'ready');
  }

  /** Applies an order; returns false if this engine checks fencing and has seen a higher number. */
  apply({ fencing, order }: OrderMessage): boolean {
    if (this.checksFencing && fencing < this.highestFencing) return false;
    if (this.checksFencing) this.highestFencing = fencing;
    const { model = '', version = '' } = order;
    if (order.kind === 'set-role') this.role = order.role ?? this.role;
    else if (order.kind === 'unload') this.removeModel(model, version);
    else this.load(model, version, order.adapters ?? []);
    return true;
  }

  private load(model: string, version: string, adapters: readonly string[]): void {
    const known = this.models.find((entry) => entry.model === model && entry.version === version);
    if (known && known.state !== 'failed') {
      this.replaceModel({ ...known, adapters });
      return;
    }
    this.replaceModel({ model, version, adapters, state: 'loading' });
    this.fetchWeights(model, version)
      .then(() => {
        if (this.failsVersion(version)) throw new Error(`version ${version} does not load`);
        return { model, version, adapters, state: 'ready' } as const;
      })
      .catch((err: unknown) => {
        const message = err instanceof Error ? err.message : String(err);
        return { model, version, adapters, state: 'failed', message } as const;
      })
      .then((result) => this.isListed(model, version) && this.replaceModel(result))
      .catch(() => {});
  }

  private isListed(model: string, version: string): boolean {
    return this.models.some((entry) => entry.model === model && entry.version === version);
  }

  private removeModel(model: string, version: string): void {
    this.models = this.models.filter(
      (entry) => entry.model !== model || (version !== '' && entry.version !== version),
    );
  }

  private replaceModel(state: ModelState): void {
    this.removeModel(state.model, state.version);
    this.models = [...this.models, state];
  }

  private fetchWeights(model: string, version: string): Promise<void> {
    if (this.weightsUrl === undefined) return Promise.resolve();
    const url = `${this.weightsUrl}/v1/weights/${model}/${version}`;
    return new Promise((resolve, reject) => {
      http
        .get(url, (res) => {
          res.resume();
          res.on('end', () =>
            res.complete
              ? resolve()
              : reject(new Error('the download of the weights was truncated')),
          );
          res.on('error', reject);
        })
        .on('error', reject);
    });
  }
}
