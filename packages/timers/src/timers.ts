/** A running subscription. Disposing it stops further calls; it does not wait for a call that is running. */
export interface Subscription extends Disposable {
    readonly active: boolean;
}

/** Source of time for all parts of a process. */
export interface Timers {
    /** Milliseconds on a monotonic clock with an arbitrary origin. Never compared between processes. */
    now(): number;
    /** Wall-clock time in milliseconds since 1970, for records read by people. Never used for leases. */
    wallClock(): number;
    /** Calls `action` each `periodMilliseconds`. A call is skipped while the previous one is still running. */
    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription;
    /** Calls `action` once after `delayMilliseconds`. */
    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription;
}

/** Resolves after `delayMilliseconds`, or early when the signal aborts. */
export function sleep(timers: Timers, delayMilliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = (): void => {
            subscription[Symbol.dispose]();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const subscription = timers.after(delayMilliseconds, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });
}

/** Waits for `work`, or for the delay to pass, in which case the result is `undefined`. The work goes on. */
export async function withDeadline<Value>(
    timers: Timers,
    delayMilliseconds: number,
    work: Promise<Value>,
): Promise<Value | undefined> {
    const abort = new AbortController();
    try {
        return await Promise.race([work, sleep(timers, delayMilliseconds, abort.signal).then(() => undefined)]);
    }
    finally {
        abort.abort();
    }
}
