/** Tests that run beside each other, each with a fleet of its own. */
import { test } from 'node:test';
import type { Zone } from './example-config.js';
import { StreamFleet } from './stream-fleet.js';

const PORTS_PER_FLEET = 10;
const MAX_FLEETS = 8;

type FleetTest = (fleet: StreamFleet) => Promise<void>;

export class StreamFleetTests {
  private readonly tests: { readonly name: string; readonly run: FleetTest }[] = [];

  /**
   * @param firstPort first of ten free ports for each test
   * @param zones zones of the gateways vm-1, vm-2 and so on
   * @param warmupS warm-up of the engines; absent for the usual one
   */
  constructor(
    private readonly firstPort: number,
    private readonly zones: readonly Zone[],
    private readonly warmupS?: number,
  ) {}

  /** Adds a test; its fleet has no engines at first. */
  add(name: string, run: FleetTest): void {
    this.tests.push({ name, run });
  }

  /** Runs all tests as parts of one. */
  async run(title: string): Promise<void> {
    await test(title, { concurrency: MAX_FLEETS }, async (t) => {
      await Promise.all(
        this.tests.map(({ name, run }, index) =>
          t.test(name, () => this.runOne(this.firstPort + PORTS_PER_FLEET * index, run)),
        ),
      );
    });
  }

  private async runOne(basePort: number, run: FleetTest): Promise<void> {
    const fleet = new StreamFleet(basePort);
    if (this.warmupS !== undefined) fleet.warmupS = this.warmupS;
    try {
      await fleet.start();
      await fleet.addGateways(1, this.zones);
      await run(fleet);
    } finally {
      await fleet.stop();
    }
  }
}
