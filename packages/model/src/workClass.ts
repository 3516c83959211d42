/** Class of work. It decides order, reserve, preemption, lease length and which load is shed first. */
export const WorkClass = {
    Urgent: "urgent",
    Service: "service",
    Batch: "batch",
} as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/**
 * Length of a task lease in milliseconds. It bounds how long a task of a lost VM waits before it starts elsewhere, and
 * how long it goes on when its owner and the store are lost together. Services get more, since they are to survive the
 * takeover of their shard; 10 minutes kept a lost service down for as long.
 */
export const taskLeaseMilliseconds: Readonly<Record<WorkClass, number>> = {
    [WorkClass.Urgent]: 30_000,
    [WorkClass.Service]: 120_000,
    [WorkClass.Batch]: 30_000,
};
