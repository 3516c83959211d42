import type { ShardId } from "@tanagerlink/model";
import type { TableService } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";

export interface GrantLedgerOptions {
    readonly timers: Timers;
    readonly table: TableService;
    /** A new identifier with each call, unique over the fleet. */
    readonly nextTransactionId: () => string;
    /** Least time between two grant transactions of a shard. */
    readonly transactionMilliseconds: number;
    /** Period in which the wants of all shards are read, and the rows of the teams that they name. */
    readonly pollMilliseconds: number;
    /** Period in which all rows are read, which finds what a lost row of wants did not tell. */
    readonly readAllMilliseconds: number;
    /** Units that weren't needed for this long are given back. */
    readonly idleMilliseconds: number;
    /** Numbers from 0 to 1 for the jitter of retries; `Math.random` by default. */
    readonly random?: () => number;
    /** Called when a newer owner of the shard was noticed; the ledger gives out nothing more for it. */
    readonly superseded?: (shard: ShardId, epoch: number) => void;
}

/** Default durations of the ledger. */
export const defaultGrantDurations = {
    transactionMilliseconds: 1_000,
    pollMilliseconds: 2_000,
    readAllMilliseconds: 600_000,
    idleMilliseconds: 30_000,
} as const;
