/** `npm run demo:platform`: runs a small fleet on loopback addresses and prints curl commands for it. */
import { HOST, MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { TestFleet } from './test-fleet.js';

const BASE_PORT = 24_200;

async function run(): Promise<void> {
  const fleet = new TestFleet(BASE_PORT);
  await fleet.start();
  await fleet.addTarget(1, MODEL_SERVICE, 'north-a');
  await fleet.addTarget(2, MODEL_SERVICE, 'west-a');
  await fleet.addTarget(3, PLAIN_SERVICE, 'north-a');
  await fleet.addTarget(4, PLAIN_SERVICE, 'west-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'west-a');
  await fleet.until(() => fleet.isReady('vm-1'));
  const curl = `curl -i -H 'host: ${HOST}' -H 'deadline-ms: 3000' -H 'request-id: my-1'`;
  const { log } = console;
  log('Two gateways are running; press Ctrl-C to stop them. Example requests:');
  log(`  ${curl} http://127.0.0.1:${BASE_PORT}/read/a`);
  log(`  ${curl} -d book http://127.0.0.1:${BASE_PORT}/once/a`);
  log(`  ${curl} -d ask http://127.0.0.1:${BASE_PORT}/stream/a`);
  log(`  ${curl} http://127.0.0.1:${BASE_PORT}/bound/a    # served in region west only`);
  log(
    `  curl 'http://127.0.0.1:${BASE_PORT + 2}/api/resolve?name=${HOST}&region=north&zone=north-a'`,
  );
  process.once('SIGINT', () => {
    void fleet.stop().then(() => {
      process.exitCode = 0;
    });
  });
}

await run();
