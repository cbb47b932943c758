/**
 * Ignores signals that have no meaning for a daemon, as their default actions end the process or, for
 * SIGUSR1, open a port for a debugger.
 */

const STRAY_SIGNALS = ['SIGUSR1', 'SIGUSR2', 'SIGIO', 'SIGPWR'] as const;

STRAY_SIGNALS.forEach((signal) => process.on(signal, () => undefined));
