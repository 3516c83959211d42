import { performance } from "node:perf_hooks";
import type { Subscription, Timers } from "./timers.ts";

class SystemSubscription implements Subscription {
    active = true;
    private readonly handle: NodeJS.Timeout;
    private readonly isPeriodic: boolean;

    constructor(handle: NodeJS.Timeout, isPeriodic: boolean) {
        this.handle = handle;
        this.isPeriodic = isPeriodic;
    }

    [Symbol.dispose](): void {
        this.active = false;
        if (this.isPeriodic) {
            clearInterval(this.handle);
        }
        else {
            clearTimeout(this.handle);
        }
    }
}

/** Timers that use the clocks of the operating system. */
export class SystemTimers implements Timers {
    private readonly reportFailure: (failure: unknown) => void;

    /** `reportFailure` receives what a timed action throws, so that a failing action does not end the process. */
    constructor(reportFailure: (failure: unknown) => void) {
        this.reportFailure = reportFailure;
    }

    now(): number {
        return performance.now();
    }

    wallClock(): number {
        return Date.now();
    }

    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription {
        let running = false;
        const handle = setInterval(() => {
            if (running) {
                return;
            }
            running = true;
            void this.runAction(action).finally(() => {
                running = false;
            });
        }, periodMilliseconds);
        return new SystemSubscription(handle, true);
    }

    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription {
        const handle = setTimeout(() => void this.runAction(action), delayMilliseconds);
        return new SystemSubscription(handle, false);
    }

    private async runAction(action: () => void | Promise<void>): Promise<void> {
        try {
            await action();
        }
        catch (failure) {
            this.reportFailure(failure);
        }
    }
}
