/**
 * Class of work. It determines order, use of the reserve, preemption, lease duration and the order of load shedding.
 */
export const WorkClass = {
    Urgent: "urgent",
    Service: "service",
    Batch: "batch",
} as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/**
 * Duration of a task lease. It limits the delay before a task of a lost VM is started elsewhere, and the time for which
 * a task keeps running after both its owner and the store are lost. Services have a longer lease, since they have to
 * survive the takeover of their shard; with a lease of 10 minutes, a lost service stayed down for 10 minutes.
 */
export const taskLeaseMilliseconds: Readonly<Record<WorkClass, number>> = {
    [WorkClass.Urgent]: 30_000,
    [WorkClass.Service]: 120_000,
    [WorkClass.Batch]: 30_000,
};
