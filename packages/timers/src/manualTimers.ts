import type { Subscription, Timers } from "./timers.ts";

interface TimerEntry extends Subscription {
    active: boolean;
    dueAt: number;
    readonly order: number;
    readonly period: number | undefined;
    readonly action: () => void | Promise<void>;
}

/** Event loop turns after each due action, in which its asynchronous work continues. */
const EVENT_LOOP_TURNS = 4;

/**
 * Timers for tests. Time advances only through `advance`, and actions run in order of their due times. After each
 * action the event loop turns a few times, so that promises that depend on it settle before time advances.
 */
export class ManualTimers implements Timers {
    private currentTime = 0;
    private nextOrder = 0;
    private readonly wallClockOrigin: number;
    private readonly entries = new Set<TimerEntry>();

    constructor(wallClockOrigin = 1_700_000_000_000) {
        this.wallClockOrigin = wallClockOrigin;
    }

    now(): number {
        return this.currentTime;
    }

    wallClock(): number {
        return this.wallClockOrigin + this.currentTime;
    }

    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.addEntry(periodMilliseconds, periodMilliseconds, action);
    }

    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription {
        return this.addEntry(delayMilliseconds, undefined, action);
    }

    /** Advances time and runs all actions that become due. */
    async advance(milliseconds: number): Promise<void> {
        const endTime = this.currentTime + milliseconds;
        await this.settle();
        for (let entry = this.nextDue(endTime); entry !== undefined; entry = this.nextDue(endTime)) {
            this.currentTime = Math.max(this.currentTime, entry.dueAt);
            this.reschedule(entry);
            // Not awaited, since an action may itself wait for a time that this loop has not reached yet.
            void entry.action();
            await this.settle();
        }
        this.currentTime = endTime;
    }

    /** Lets pending promises settle without advancing time. */
    async settle(): Promise<void> {
        for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private addEntry(delay: number, period: number | undefined, action: () => void | Promise<void>): Subscription {
        const entries = this.entries;
        const entry: TimerEntry = {
            active: true,
            dueAt: this.currentTime + Math.max(0, delay),
            order: this.nextOrder++,
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

    private reschedule(entry: TimerEntry): void {
        if (entry.period === undefined) {
            entry[Symbol.dispose]();
        }
        else {
            entry.dueAt += Math.max(1, entry.period);
        }
    }

    private nextDue(endTime: number): TimerEntry | undefined {
        let next: TimerEntry | undefined;
        for (const entry of this.entries) {
            const isEarlier = next === undefined || entry.dueAt < next.dueAt
                || (entry.dueAt === next.dueAt && entry.order < next.order);
            if (entry.dueAt <= endTime && isEarlier) {
                next = entry;
            }
        }
        return next;
    }
}
