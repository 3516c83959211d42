/** Held answers to heartbeats of one simulated worker: what ends the holding, and what was changed since a report. */
import type { HeartbeatHold } from "@tanagerlink/targets";
import type { Timers } from "@tanagerlink/timers";

/** What happened on the worker. */
export const WorkerChange = {
    /** A task has ended, or the worker began to leave. */
    State: "state",
    Usage: "usage",
    /** A call that ends every holding: an attach, another heartbeat or a release. */
    Call: "call",
    Restart: "restart",
} as const;
export type WorkerChange = (typeof WorkerChange)[keyof typeof WorkerChange];

/** @internal */
export class HeldAnswers {
    /** Reports made so far when the state last changed; -1 when it never did. */
    private stateChangedAt = -1;
    private usageChangedAt = -1;
    private readonly listeners = new Set<(change: WorkerChange) => void>();

    /** Notes a change after the report with this sequence. */
    note(change: WorkerChange, sequence: number): void {
        this.stateChangedAt = change === WorkerChange.State ? sequence : this.stateChangedAt;
        this.usageChangedAt = change === WorkerChange.Usage ? sequence : this.usageChangedAt;
        [...this.listeners].forEach(listener => listener(change));
    }

    /** Waits until there is a reason to answer a heartbeat that names this report; at the end of a restart as well. */
    async wait(timers: Timers, hold: HeartbeatHold, lastReport: number): Promise<void> {
        if (this.stateChangedAt >= lastReport) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                this.listeners.delete(listen);
                end[Symbol.dispose]();
                period[Symbol.dispose]();
                resolve();
            };
            let isUsageDue = false;
            const listen = (change: WorkerChange): void => {
                if (change !== WorkerChange.Usage || isUsageDue) {
                    finish();
                }
            };
            this.listeners.add(listen);
            const end = timers.after(hold.milliseconds, finish);
            const period = timers.after(hold.periodMilliseconds, () => {
                isUsageDue = true;
                if (this.usageChangedAt >= lastReport) {
                    finish();
                }
            });
        });
    }
}
