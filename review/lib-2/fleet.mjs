/** Small deployment on loopback addresses for the scripts of this review. */
export { newId, send } from './client.mjs';
export { configOf, modelService, plainService, route } from './config.mjs';
export { Gateway } from './gateway.mjs';
export { HOST, sleep } from './net.mjs';
export { Recorder } from './recorder.mjs';
export { Runner } from './runner.mjs';
export { Store } from './store.mjs';
