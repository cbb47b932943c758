#!/usr/bin/env node
/** Command line of `marjoramcart-control`. */
import { controlSettingsSchema, createLogger, runDaemonCli } from '@marjoramcart/runtime';
import { createControlDaemon } from './daemon.js';

await runDaemonCli({
  name: 'marjoramcart-control',
  description: 'Control daemon of marjoramcart',
  schema: controlSettingsSchema,
  run: (settings) => {
    const log = createLogger({ ...settings.log, name: 'control' });
    return createControlDaemon(settings, log).kernel.run();
  },
});
