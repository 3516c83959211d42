import type { ServiceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ShardId } from "@tanagerlink/model";
import type { Result } from "neverthrow";
import type { JobMove } from "./jobMove.ts";

/** Result of a submission. */
export interface AcceptedJob {
    readonly record: JobRecord;
    /** The submission repeated an earlier one with the same idempotency key; `record` is the first one's. */
    readonly repeated: boolean;
}

/** Durable records of jobs. Writes are made under the epoch of a shard and fail with `stale_epoch` after a takeover. */
export interface JobStore extends AsyncDisposable {
    /** Begins to write for a shard under an epoch. */
    open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>>;
    /** Ends writing for a shard; resolves when what was pending is written or the bound has passed. */
    close(shard: ShardId, withinMilliseconds: number): Promise<void>;
    /** All jobs of the shard. */
    load(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>>;
    /** One job, without ownership of its shard. */
    read(shard: ShardId, job: string): Promise<Result<JobRecord | undefined, ServiceError>>;
    /**
     * Makes a new job durable. Errors: `store_unavailable` (certainly not accepted), `store_outcome_unknown`,
     * `idempotency_key_conflict` for a key that was used with another specification, `stale_epoch`.
     */
    accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>>;
    /**
     * Writes the newest state of a job. Resolves when it, or a later state, is durable. Outages of the table are waited
     * out; the only errors are `stale_epoch` and `not_owner`.
     */
    update(record: JobRecord): Promise<Result<void, ServiceError>>;
    /**
     * Moves jobs of which nothing runs to other shards, in one transaction: each record appears there, an arrival tells
     * that shard's owner, and the record here becomes a pointer. Nothing may be written for the jobs here afterwards.
     * Outages are waited out as with `update`. Answers with the jobs that were moved; of the others a row was changed
     * outside the shard.
     */
    move(shard: ShardId, moves: readonly JobMove[]): Promise<Result<readonly string[], ServiceError>>;
    /** Jobs that were moved to the shard and whose arrival was not confirmed yet. */
    arrivals(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>>;
    /** Confirms arrivals under the shard's epoch; only the jobs in the answer may be started. */
    confirmArrivals(shard: ShardId, jobs: readonly string[]): Promise<Result<readonly string[], ServiceError>>;
    /** Deletes the record of a finished job and its idempotency key. */
    remove(shard: ShardId, job: string): void;
}
