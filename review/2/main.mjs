/** A request to the plain service crashes each runner that begins to run it, and comes again. */
import { fileURLToPath } from 'node:url';
import { PLAIN, ZONES, runCase } from '../lib/deployment.mjs';
import { runPoison } from '../lib/poison.mjs';
import { Runner } from '../lib/runner.mjs';

await runCase(fileURLToPath(new URL('.', import.meta.url)), (deployment, trouble) => {
  const runners = Object.keys(ZONES).map(
    (zone, index) =>
      new Runner({
        id: `i-plain-${index + 1}`,
        service: PLAIN,
        zone,
        host: `127.2.${index + 1}.1`,
        slots: 6,
      }),
  );
  return runPoison(deployment, {
    runners,
    trouble,
    poison: { path: '/despacho-hoja/77', body: 'sheet 77, mill 3', deadlineMs: 6000 },
    beside: (index) =>
      index % 3 === 0
        ? { path: `/estado-orden/${index}`, deadlineMs: 6000 }
        : { path: `/despacho-hoja/${index}`, body: `sheet ${index}`, deadlineMs: 6000 },
  });
});
