/** Class of work. It decides order, reserve, preemption, lease length and which load is shed first. */
export const WorkClass = {
    Urgent: "urgent",
    Service: "service",
    Batch: "batch",
} as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];

/** Length of a task lease in milliseconds. Services outlive an outage of the store and of their owner together. */
export const taskLeaseMilliseconds: Readonly<Record<WorkClass, number>> = {
    [WorkClass.Urgent]: 30_000,
    [WorkClass.Service]: 600_000,
    [WorkClass.Batch]: 30_000,
};
