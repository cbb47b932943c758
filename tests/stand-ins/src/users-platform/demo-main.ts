/** `npm run demo:platform`: a small fleet on loopback addresses that can be called by hand. */
import { HOST, MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { TestFleet } from './rig.js';

const BASE_PORT = 24_200;

async function run(): Promise<void> {
  const rig = new TestFleet(BASE_PORT);
  await rig.start();
  await rig.addTarget(1, MODEL_SERVICE, 'north-a');
  await rig.addTarget(2, MODEL_SERVICE, 'west-a');
  await rig.addTarget(3, PLAIN_SERVICE, 'north-a');
  await rig.addTarget(4, PLAIN_SERVICE, 'west-a');
  await rig.addGateway(1, 'north-a');
  await rig.addGateway(2, 'west-a');
  await rig.until(() => rig.isReady('vm-1'));
  const call = `curl -i -H 'host: ${HOST}' -H 'deadline-ms: 3000' -H 'request-id: my-1'`;
  const { log } = console;
  log('Two gateways run; end them with Ctrl-C. Requests to try:');
  log(`  ${call} http://127.0.0.1:${BASE_PORT}/read/a`);
  log(`  ${call} -d book http://127.0.0.1:${BASE_PORT}/once/a`);
  log(`  ${call} -d ask http://127.0.0.1:${BASE_PORT}/stream/a`);
  log(`  ${call} http://127.0.0.1:${BASE_PORT}/bound/a    # runs in the west only`);
  log(
    `  curl 'http://127.0.0.1:${BASE_PORT + 2}/api/resolve?name=${HOST}&region=north&zone=north-a'`,
  );
  process.once('SIGINT', () => {
    void rig.stop().then(() => {
      process.exitCode = 0;
    });
  });
}

await run();
