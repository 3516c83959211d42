import type { ShardId } from "@tanagerlink/model";
import type { TableService } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";

export interface GrantLedgerOptions {
    readonly timers: Timers;
    readonly table: TableService;
    /** Returns a new identifier on each call, unique across the fleet. */
    readonly nextTransactionId: () => string;
    /** Minimum interval between two grant transactions of a shard. */
    readonly transactionIntervalMilliseconds: number;
    /** Period of the polls that read the demand rows of all shards, and the grant rows of the teams in them. */
    readonly pollMilliseconds: number;
    /** Period in which all grant rows are read, to find unmet demand whose demand row was lost. */
    readonly fullReadMilliseconds: number;
    /** Units that were not needed for this long are returned. */
    readonly idleMilliseconds: number;
    /** Source of numbers from 0 to 1 for the jitter of retries; `Math.random` by default. */
    readonly random?: () => number;
    /** Called when a newer owner of the shard was detected; the ledger no longer grants units in this shard. */
    readonly onOwnershipLost?: (shard: ShardId, epoch: number) => void;
}

export const defaultGrantDurations = {
    transactionIntervalMilliseconds: 1_000,
    pollMilliseconds: 2_000,
    fullReadMilliseconds: 600_000,
    idleMilliseconds: 30_000,
} as const;
