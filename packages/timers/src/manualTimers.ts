import type { Subscription, Timers } from "./timers.ts";

interface Entry extends Subscription {
    active: boolean;
    due: number;
    readonly order: number;
    readonly period: number | undefined;
    readonly action: () => void | Promise<void>;
}

/** Number of event loop turns given to asynchronous work after each due action. */
const SETTLE_TURNS = 4;

/**
 * Timers for tests: time stands still until `advance` is called, and actions run in the order of their due times.
 * After each action the event loop turns a few times, so that promises chained to it settle before time moves on.
 */
export class ManualTimers implements Timers {
    private time = 0;
    private order = 0;
    private readonly wallClockOrigin: number;
    private readonly entries = new Set<Entry>();

    constructor(wallClockOrigin = 1_700_000_000_000) {
        this.wallClockOrigin = wallClockOrigin;
    }

    now(): number {
        return this.time;
    }

    wallClock(): number {
        return this.wallClockOrigin + this.time;
    }

    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.add(periodMilliseconds, periodMilliseconds, action);
    }

    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.add(delayMilliseconds, undefined, action);
    }

    /** Moves time forward and runs everything that falls due on the way. */
    async advance(milliseconds: number): Promise<void> {
        const end = this.time + milliseconds;
        await this.settle();
        for (let entry = this.nextDue(end); entry !== undefined; entry = this.nextDue(end)) {
            this.time = Math.max(this.time, entry.due);
            this.reschedule(entry);
            // Not awaited: an action may itself wait for time that only a later step provides.
            void entry.action();
            await this.settle();
        }
        this.time = end;
    }

    /** Lets promises that are already resolvable run, without moving time. */
    async settle(): Promise<void> {
        for (let turn = 0; turn < SETTLE_TURNS; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private add(delay: number, period: number | undefined, action: () => void | Promise<void>): Subscription {
        const entries = this.entries;
        const entry: Entry = {
            active: true,
            due: this.time + Math.max(0, delay),
            order: this.order++,
            period,
            action,
            [Symbol.dispose](): void {
                entry.active = false;
                entries.delete(entry);
            },
        };
        entries.add(entry);
        return entry;
    }

    private reschedule(entry: Entry): void {
        if (entry.period === undefined) {
            entry[Symbol.dispose]();
        }
        else {
            entry.due += Math.max(1, entry.period);
        }
    }

    private nextDue(end: number): Entry | undefined {
        let next: Entry | undefined;
        for (const entry of this.entries) {
            const earlier = next === undefined || entry.due < next.due
                || (entry.due === next.due && entry.order < next.order);
            if (entry.due <= end && earlier) {
                next = entry;
            }
        }
        return next;
    }
}
