/**
 * A request that crashes each runner that begins to run it comes again and again, with the same path,
 * caller and body, at any gateway. Counts the times at which it reaches a runner later than
 * `stabilityMs` after the third crash.
 */
import { request, sleep } from './deployment.mjs';

const STABILITY_MS = 6000;
const MAX_RETRIES = 3;
const CRASHES_BEFORE = 3;
const DOWN_MS = 2000;
const AGAIN_MS = 5000;
const SENT = 12;
const BESIDE_MS = 120;

/** Ends a runner as a crash does; it is back after some seconds, as another one. */
function crash(runner, deployment) {
  if (!runner.up) return;
  const { store } = deployment;
  runner.stop();
  deployment.log(`runner ${runner.id} has crashed`);
  setTimeout(() => {
    if (deployment.stopping) return;
    store.delete(`servers/${runner.id}`);
    const generation = Number(runner.id.split('.')[1] ?? 0) + 1;
    Object.assign(runner, { id: `${runner.id.split('.')[0]}.${generation}`, born: Date.now() });
    void runner.start().then(() => {
      store.put(`servers/${runner.id}`, runner.entry());
      deployment.log(`runner ${runner.id} is back`);
    });
  }, DOWN_MS);
}

/**
 * @param spec runners, whether to cause the crashes, the poisonous request without its id, and sound
 *   requests that are sent beside it
 * @returns whether the rule held
 */
export async function runPoison(deployment, { runners, trouble, poison, beside }) {
  const crashes = [];
  const runs = [];
  runners.forEach((runner) =>
    Object.assign(runner, {
      onRun: (run) => {
        if (run.request.path !== poison.path || run.request.body !== poison.body) return;
        runs.push(performance.now());
        deployment.log(`runner ${runner.id} begins to run the request as ${run.id}`);
        if (!trouble) return;
        crashes.push(performance.now());
        setTimeout(() => crash(runner, deployment), 5);
      },
    }),
  );
  await deployment.start(2, runners);
  await sleep(2000);
  const { gateways } = deployment;
  const ends = {};
  let besideSent = 0;
  const traffic = setInterval(() => {
    const { front } = gateways[besideSent % gateways.length];
    const sound = beside(besideSent);
    besideSent += 1;
    void request(front, { ...sound, id: `sound-${besideSent}` }).then(({ end }) => {
      const key = `${sound.path.split('/')[1]} ${end}`;
      ends[key] = (ends[key] ?? 0) + 1;
    });
  }, BESIDE_MS);
  await sleep(2000);
  /* eslint-disable no-await-in-loop */
  for (let sent = 1; sent <= SENT; sent += 1) {
    const { node, front } = gateways[sent % gateways.length];
    const id = `again-${sent}`;
    deployment.log(`client sends the request as ${id} to ${node}`);
    void request(front, { ...poison, id }).then(({ end, ms }) =>
      deployment.log(`client: ${id} ends after ${ms} ms: ${end}`),
    );
    await sleep(AGAIN_MS);
  }
  /* eslint-enable no-await-in-loop */
  clearInterval(traffic);
  await sleep(1000);
  deployment.log(`sound requests beside it, by route and end: ${JSON.stringify(ends)}`);
  const third = crashes[CRASHES_BEFORE - 1] ?? Infinity;
  const late = runs.filter((at) => at > third + STABILITY_MS).length;
  deployment.log(`the request crashed runners ${crashes.length} times`);
  deployment.log(
    `it reached runners ${late} times later than 6 s after the third crash; at most 3`,
  );
  return late <= MAX_RETRIES;
}
