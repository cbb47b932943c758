/** Worker thread of the policy bench: runs the combinations that it is sent. */
import { parentPort } from 'node:worker_threads';
import type { Figures } from './call-record.js';
import { runScenario } from './run-scenario.js';
import { systems } from './systems.js';
import { scenarios, users } from './workloads.js';

/** One run, by names. */
export interface RunRequest {
  readonly user: string;
  readonly scenario: string;
  readonly system: string;
  readonly seed: number;
}

export interface RunResult extends RunRequest {
  readonly figures: Figures;
}

parentPort?.on('message', (order: RunRequest) => {
  const user = users.find(({ name }) => name === order.user);
  const scenario = scenarios.find(({ name }) => name === order.scenario);
  const system = systems.find(({ name }) => name === order.system);
  if (!user || !scenario || !system) throw new Error(`unknown run ${JSON.stringify(order)}`);
  const result: RunResult = { ...order, figures: runScenario(user, scenario, system, order.seed) };
  parentPort?.postMessage(result);
});
