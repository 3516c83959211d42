/** Signals that end a process gracefully. */

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Resolves at the first stop signal. Later ones change nothing: the drain is bounded by its own timeout. */
export function stopSignal(): Promise<void> {
    return new Promise(resolve => {
        for (const signal of STOP_SIGNALS) {
            process.on(signal, () => resolve());
        }
    });
}
