/** An active timer. Disposing of it prevents further calls, but does not wait for one in progress. */
export interface Subscription extends Disposable {
    readonly active: boolean;
}

/** Clocks and timers of a process. */
export interface Timers {
    /** Milliseconds on a monotonic clock with an arbitrary origin. Not comparable between processes. */
    now(): number;
    /** Wall-clock time in milliseconds since 1970, for records that people read. It may jump: not for leases. */
    wallClock(): number;
    /** Calls `action` every `periodMilliseconds`. A call is skipped while the previous one is in progress. */
    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription;
    /** Calls `action` once after `delayMilliseconds`. */
    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription;
}

/** Resolves after `delayMilliseconds`, or earlier when the signal aborts. */
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

/** Waits for `work` for at most the delay, after which the result is `undefined`. The work itself is not cancelled. */
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
