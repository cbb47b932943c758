/** Worker thread of the policy benchmark: runs the simulations that the main thread requests. */
import { parentPort } from 'node:worker_threads';
import type { Figures } from './call-record.js';
import { runScenario } from './run-scenario.js';
import { policyCombinations } from './policy-combinations.js';
import { scenarios, users } from './workloads.js';

/** Identifies one run by the names of its parts and its seed. */
export interface RunRequest {
  readonly user: string;
  readonly scenario: string;
  readonly system: string;
  readonly seed: number;
}

export interface RunResult extends RunRequest {
  readonly figures: Figures;
}

parentPort?.on('message', (request: RunRequest) => {
  const user = users.find(({ name }) => name === request.user);
  const scenario = scenarios.find(({ name }) => name === request.scenario);
  const system = policyCombinations.find(({ name }) => name === request.system);
  if (!user || !scenario || !system) throw new Error(`unknown run ${JSON.stringify(request)}`);
  const result: RunResult = {
    ...request,
    figures: runScenario(user, scenario, system, request.seed),
  };
  parentPort?.postMessage(result);
});
