/**
 * Timers of one process in a test, with a clock that drifts from the test's time and with pauses of the whole process.
 */
import type { ManualTimers, Subscription, Timers } from "@tanagerlink/timers";

export class NodeTimers implements Timers {
    private readonly base: ManualTimers;
    private readonly rate: number;
    private paused = false;
    private readonly deferred: (() => void | Promise<void>)[] = [];

    /** A `rate` of 1.1 makes the clock run 10 % fast. */
    constructor(base: ManualTimers, rate = 1) {
        this.base = base;
        this.rate = rate;
    }

    now(): number {
        return this.base.now() * this.rate;
    }

    wallClock(): number {
        return this.base.wallClock();
    }

    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.base.every(periodMilliseconds / this.rate, () => this.run(action));
    }

    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.base.after(delayMilliseconds / this.rate, () => this.run(action));
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        this.deferred.splice(0).forEach(action => void action());
    }

    private run(action: () => void | Promise<void>): void | Promise<void> {
        if (!this.paused) {
            return action();
        }
        this.deferred.push(action);
    }
}
