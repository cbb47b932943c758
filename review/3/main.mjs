/**
 * A request to the model service crashes each runner that begins to run it, and comes again. Its shared
 * parts are also those of sound requests; only its last part and body are its own.
 */
import { fileURLToPath } from 'node:url';
import { MODEL, ZONES, runCase } from '../lib/deployment.mjs';
import { runPoison } from '../lib/poison.mjs';
import { Runner } from '../lib/runner.mjs';

const RUNNERS = [6, 4, 3];

function ask(document, own, body) {
  return {
    path: `/diagnostico-sierra/${own}`,
    body,
    deadlineMs: 12_000,
    headers: {
      Model: 'm',
      'Token-Count': '6610,400',
      'Prompt-Prefix': `5c1e07a2:512,${document}:4870,${own}:1228`,
    },
  };
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), (deployment, trouble) => {
  const runners = Object.keys(ZONES).flatMap((zone, zoneIndex) =>
    Array.from(
      { length: RUNNERS[zoneIndex] },
      (_, index) =>
        new Runner({
          id: `i-model-${zoneIndex + 1}${index + 1}`,
          service: MODEL,
          zone,
          host: `127.2.${zoneIndex + 1}.${index + 1}`,
          streams: true,
        }),
    ),
  );
  return runPoison(deployment, {
    runners,
    trouble,
    poison: ask('91bd3f06', 'e4402b7d', 'the blade of mill 3'),
    // Sound requests about the same document and about others.
    beside: (index) =>
      ask(index % 4 === 0 ? '91bd3f06' : `a0000${index % 40}`, `b${index}`, `question ${index}`),
  });
});
