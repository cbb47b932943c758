/**
 * Receives SIGHUP from the moment this module is loaded, as the default action of the signal ends the
 * process. A program imports it before its other modules, which take some 0.2 s to load.
 */

let reload: (() => void) | undefined;
let pending = false;

process.on('SIGHUP', () => {
  if (reload) reload();
  else pending = true;
});

/**
 * Sets what SIGHUP does. Calls it at once if a signal has come before.
 *
 * @example onReloadSignal(() => gateway.reload(readSettings()))
 */
export function onReloadSignal(fn: () => void): void {
  reload = fn;
  if (!pending) return;
  pending = false;
  fn();
}
