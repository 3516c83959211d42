/** A process in shared virtual time that can be paused, resumed or killed, together with its access to the table. */
import type { TableService } from "@tanagerlink/platform";
import type { ManualTimers, Subscription, Timers } from "@tanagerlink/timers";

/** Timers of a process. While it is paused no action runs, but its monotonic clock advances. */
export class SimulatedProcess implements Timers {
    private readonly base: ManualTimers;
    private paused = false;
    private killed = false;
    private deferredActions: (() => void)[] = [];

    constructor(base: ManualTimers) {
        this.base = base;
    }

    get isRunning(): boolean {
        return !this.paused;
    }

    get isKilled(): boolean {
        return this.killed;
    }

    pause(): void {
        this.paused = true;
    }

    /** Runs all actions that became due during the pause, in order. */
    resume(): void {
        this.paused = this.killed;
        const due = this.killed ? [] : this.deferredActions;
        this.deferredActions = [];
        due.forEach(action => action());
    }

    /** Stops the process for good. */
    kill(): void {
        this.killed = true;
        this.paused = true;
    }

    /** Resolves once the process runs, so that no response reaches a paused process. */
    whenRunning(): Promise<void> {
        return this.paused ? new Promise(resolve => this.deferredActions.push(resolve)) : Promise.resolve();
    }

    now(): number {
        return this.base.now();
    }

    wallClock(): number {
        return this.base.wallClock();
    }

    every(periodMilliseconds: number, action: () => void | Promise<void>): Subscription {
        let isPending = false;
        const subscription: Subscription = this.base.every(periodMilliseconds, () => {
            if (!isPending) {
                isPending = true;
                this.run(() => {
                    isPending = false;
                    return subscription.active ? action() : undefined;
                });
            }
        });
        return subscription;
    }

    after(delayMilliseconds: number, action: () => void | Promise<void>): Subscription {
        let disposed = false;
        const subscription = this.base.after(delayMilliseconds, () => {
            this.run(() => disposed ? undefined : action());
        });
        return {
            get active(): boolean {
                return subscription.active;
            },
            [Symbol.dispose](): void {
                disposed = true;
                subscription[Symbol.dispose]();
            },
        };
    }

    /** Wraps the table so that no response arrives while the process is paused. */
    connect(table: TableService): TableService {
        const deliver = async <Answer>(call: Promise<Answer>): Promise<Answer> => {
            const result = await call;
            await this.whenRunning();
            return result;
        };
        return {
            read: key => deliver(table.read(key)),
            readRange: request => deliver(table.readRange(request)),
            transact: transaction => deliver(table.transact(transaction)),
        };
    }

    private run(action: () => void | Promise<void>): void {
        if (this.paused) {
            this.deferredActions.push(() => void action());
        }
        else {
            void action();
        }
    }
}
