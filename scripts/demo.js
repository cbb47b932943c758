/** `npm run demo`: builds and runs the demo; `npm run demo -- --keep` keeps the fleet running. */
import { prepare } from './prepare.js';

prepare();
await import(new URL('../tests/stand-ins/dist/demo/main.js', import.meta.url).href);
