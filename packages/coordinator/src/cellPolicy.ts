/** The part of the configuration that decides on jobs in the hands of the owner. */
import type { Resources } from "@tanagerlink/model";

/** A queue as far as it changes decisions on accepted jobs. */
export interface QueueRule {
    readonly service: string;
    readonly priority: number;
    readonly maximumAttempts: number;
    readonly hinted: boolean;
    readonly hintMilliseconds: number;
    readonly hintValidityMilliseconds: number;
}

export interface TeamRule {
    /** Share when the cell is full. */
    readonly weight: number;
    /** Most resources in use at once; components of 0 have no limit. */
    readonly limit: Resources;
}

/** Rules in force. */
export interface CellPolicy {
    readonly version: number;
    readonly queues: ReadonlyMap<string, QueueRule>;
    readonly teams: ReadonlyMap<string, TeamRule>;
    /** Failure domains that get no new work. */
    readonly evacuated: ReadonlySet<string>;
}
