/** Waiting times of a step by reason, for the log line of its placement. */

export const WaitReason = {
    /** The team is at its upper limit. */
    Limit: "limit",
    /** The step waits for tickets of the hint service. */
    Hints: "hints",
    /** No eligible worker has enough free capacity. */
    Capacity: "room",
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

export class WaitTimes {
    private readonly millisecondsByReason: Partial<Record<WaitReason, number>> = {};
    private current: { readonly reason: WaitReason; readonly since: number; } | undefined;

    /** Monotonic time since which the step waits for the current reason. */
    get since(): number | undefined {
        return this.current?.since;
    }

    startWait(reason: WaitReason, now: number): void {
        if (this.current?.reason !== reason) {
            this.endWait(now);
            this.current = { reason, since: now };
        }
    }

    /** Ends the current wait and returns the total waiting times. */
    endWait(now: number): Readonly<Partial<Record<WaitReason, number>>> {
        if (this.current !== undefined) {
            const { reason, since } = this.current;
            this.millisecondsByReason[reason] = Math.round((this.millisecondsByReason[reason] ?? 0) + now - since);
            this.current = undefined;
        }
        return this.millisecondsByReason;
    }
}
