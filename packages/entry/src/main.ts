#!/usr/bin/env node
/** Command line of `marjoramcart-entry`. */
import './heap-settings.js';
import {
  Kernel,
  Metrics,
  createLogger,
  entrySettingsSchema,
  runDaemonCli,
  type EntrySettings,
} from '@marjoramcart/runtime';
import { createEntry } from './entry-daemon.js';

async function run(settings: EntrySettings): Promise<void> {
  const log = createLogger({ ...settings.log, name: 'entry' });
  const metrics = new Metrics();
  const kernel = new Kernel({ log, metrics });
  const { timers } = kernel;
  const checkPause = (): void => timers.checkPause();
  const daemon = createEntry(settings, { timers, log, metrics, checkPause });
  daemon.tasks.forEach((task) => kernel.add(task));
  log.info('starting', { boot_id: daemon.bootId });
  await kernel.run();
}

await runDaemonCli({
  name: 'marjoramcart-entry',
  description: 'Entry daemon of marjoramcart',
  schema: entrySettingsSchema,
  run,
});
