/** Reasons why a worker is no candidate for a task, in the order in which they are checked. */

export const WorkerExclusion = {
    /** Not in the platform's list. */
    Unlisted: "unlisted",
    /** The entry in the list is old or describes an earlier incarnation. */
    EntryNotCurrent: "entry_not_current",
    /** The worker reports attempts that are not recorded on it, whose size is unknown. */
    UnexpectedAttempts: "unexpected_attempts",
    /** The worker has not answered under the epoch of this owner yet. */
    NotFenced: "not_fenced",
    Unreachable: "unreachable",
    /** The worker may hold a lease that was meant for its former incarnation and lasts longer than the terms say. */
    LongLease: "long_lease",
    Leaving: "leaving",
    Quarantined: "quarantined",
    /** The worker has just refused an order. */
    Paused: "paused",
    /** A suspected task has just started there. */
    OnTrial: "on_trial",
    /** The failure domain is taken out. */
    Evacuated: "evacuated",
    MissingLabel: "missing_label",
    /** Reserved for a gang, or claimed for the trial of a suspected task. */
    Reserved: "reserved",
    NoRoom: "no_room",
    /** The free capacity is held for other steps. */
    RoomHeld: "room_held",
    /** As many tasks of the step run there as may. */
    MaximumPerWorker: "maximum_per_worker",
    /** The hint service does not allow the worker. */
    Forbidden: "forbidden",
    NoTicket: "no_ticket",
    /** Another task has just started there, beside which a suspected one is not tried. */
    RecentStart: "recent_start",
} as const;
export type WorkerExclusion = (typeof WorkerExclusion)[keyof typeof WorkerExclusion];
