/** Why a step has waited, for the log line of its start. */

export const WaitReason = {
    /** The team has reached its upper limit. */
    Limit: "limit",
    /** Tickets of the hint service are missing. */
    Hints: "hints",
    /** No worker that may run the step has room. */
    Room: "room",
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** Milliseconds of waiting by reason. */
export class WaitLedger {
    private readonly spent: Partial<Record<WaitReason, number>> = {};
    private current: { readonly reason: WaitReason; readonly since: number; } | undefined;

    waits(reason: WaitReason, now: number): void {
        if (this.current?.reason !== reason) {
            this.settle(now);
            this.current = { reason, since: now };
        }
    }

    /** Ends the current wait and returns all waits so far. */
    settle(now: number): Readonly<Partial<Record<WaitReason, number>>> {
        if (this.current !== undefined) {
            const { reason, since } = this.current;
            this.spent[reason] = Math.round((this.spent[reason] ?? 0) + now - since);
            this.current = undefined;
        }
        return this.spent;
    }
}
