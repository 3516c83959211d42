/** The part of the configuration that affects accepted jobs. */
import type { Resources } from "@tanagerlink/model";

/** Settings of a queue that apply to accepted jobs too. */
export interface QueueRule {
    readonly service: string;
    readonly priority: number;
    readonly maximumAttempts: number;
    readonly hinted: boolean;
    readonly hintMilliseconds: number;
    readonly hintValidityMilliseconds: number;
}

export interface TeamRule {
    /** Relative share of the team when the cell is full. */
    readonly weight: number;
    /** Maximum resources in use at once; components of 0 are unlimited. */
    readonly limit: Resources;
}

/** The rules of the configuration version in force. */
export interface CellPolicy {
    readonly version: number;
    readonly queues: ReadonlyMap<string, QueueRule>;
    readonly teams: ReadonlyMap<string, TeamRule>;
    /** Failure domains that get no new work. */
    readonly evacuated: ReadonlySet<string>;
}
