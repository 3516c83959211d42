/** Signals that start a graceful shutdown. */

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Resolves at the first stop signal. Further signals are ignored, since the drain has its own timeout. */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        for (const signal of STOP_SIGNALS) {
            process.on(signal, () => resolve());
        }
    });
}
