/**
 * Signals to a process that serves callers. Node.js ends a process at a signal without a handler, together with the
 * requests in flight, so handlers are installed before the program is loaded and stay until the process ends.
 */

export const SignalAction = {
    /** Starts a graceful shutdown. Further stop signals change nothing, since the drain has its own timeout. */
    Stop: "stop",
    /** Reads settings again. */
    Reload: "reload",
    Ignore: "ignore",
} as const;
export type SignalAction = (typeof SignalAction)[keyof typeof SignalAction];

/** Node.js would open a debugger port at SIGUSR1. */
const SIGNAL_ACTIONS = {
    SIGTERM: SignalAction.Stop,
    SIGINT: SignalAction.Stop,
    SIGQUIT: SignalAction.Stop,
    SIGHUP: SignalAction.Reload,
    SIGUSR1: SignalAction.Ignore,
    SIGUSR2: SignalAction.Ignore,
} as const;
type HandledSignal = keyof typeof SIGNAL_ACTIONS;

/** The running process, as far as signals concern it. */
export interface SignalReceiver {
    /** Logs a signal and what it causes. */
    recordSignal(signal: string, action: SignalAction): void;
    /** Reads settings again. Faulty settings are logged, and the previous ones stay in force. */
    reload(): void;
}

/** Signals received since the handlers were installed. */
export class ProcessSignals {
    /** Resolves at the first stop signal. */
    readonly stopRequested: Promise<void>;
    private receiver: SignalReceiver | undefined;
    private readonly earlySignals: HandledSignal[] = [];

    constructor() {
        this.stopRequested = new Promise(resolve => {
            for (const signal of Object.keys(SIGNAL_ACTIONS) as HandledSignal[]) {
                process.on(signal, () => {
                    if (SIGNAL_ACTIONS[signal] === SignalAction.Stop) {
                        resolve();
                    }
                    this.handle(signal);
                });
            }
        });
    }

    /** Passes signals to the running process, also those that arrived while it started. */
    attach(receiver: SignalReceiver): void {
        this.receiver = receiver;
        this.earlySignals.splice(0).forEach(signal => this.handle(signal));
    }

    private handle(signal: HandledSignal): void {
        if (this.receiver === undefined) {
            this.earlySignals.push(signal);
            return;
        }
        const action = SIGNAL_ACTIONS[signal];
        this.receiver.recordSignal(signal, action);
        if (action === SignalAction.Reload) {
            this.receiver.reload();
        }
    }
}
