/** Long polling of heartbeats on one simulated worker: decides when a held heartbeat is answered. */
import type { HeartbeatHold } from "@tanagerlink/targets";
import type { Timers } from "@tanagerlink/timers";

/** Kinds of events on the worker that can end a hold. */
export const WorkerChange = {
    /** A task ended, the capacity changed, or the worker started or stopped leaving. */
    State: "state",
    Usage: "usage",
    /** A call that ends every hold: an attach, another heartbeat or a release. */
    Call: "call",
    Restart: "restart",
} as const;
export type WorkerChange = (typeof WorkerChange)[keyof typeof WorkerChange];

/** @internal */
export class HeldAnswers {
    /** Sequence of the latest report when the state last changed; -1 if it never changed. */
    private stateChangedAt = -1;
    private usageChangedAt = -1;
    private readonly listeners = new Set<(change: WorkerChange) => void>();

    /** Records a change that happened after the report with this sequence. */
    recordChange(change: WorkerChange, sequence: number): void {
        this.stateChangedAt = change === WorkerChange.State ? sequence : this.stateChangedAt;
        this.usageChangedAt = change === WorkerChange.Usage ? sequence : this.usageChangedAt;
        [...this.listeners].forEach(listener => listener(change));
    }

    /**
     * Waits until a heartbeat that refers to this report is to be answered: on a change of state, a call or a restart, on
     * a change of usage after the period of the hold, and at the latest at the end of the hold.
     */
    async waitUntilDue(timers: Timers, hold: HeartbeatHold, lastReport: number): Promise<void> {
        if (this.stateChangedAt >= lastReport) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                this.listeners.delete(listener);
                holdTimer[Symbol.dispose]();
                periodTimer[Symbol.dispose]();
                resolve();
            };
            let isUsageDue = false;
            const listener = (change: WorkerChange): void => {
                if (change !== WorkerChange.Usage || isUsageDue) {
                    finish();
                }
            };
            this.listeners.add(listener);
            const holdTimer = timers.after(hold.milliseconds, finish);
            const periodTimer = timers.after(hold.periodMilliseconds, () => {
                isUsageDue = true;
                if (this.usageChangedAt >= lastReport) {
                    finish();
                }
            });
        });
    }
}
