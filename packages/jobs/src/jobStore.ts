/** Interface of the durable store of job records. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ShardId } from "@tanagerlink/model";
import type { Result } from "neverthrow";
import type { JobMove } from "./jobMove.ts";

/** Result of a submission. */
export interface AcceptedJob {
    readonly record: JobRecord;
    /**
     * Whether an earlier submission with the same idempotency key was accepted; `record` is then the one of that job.
     */
    readonly repeated: boolean;
}

/** Durable job records. Writes are made under the epoch of a shard and fail with `stale_epoch` after a takeover. */
export interface JobStore extends AsyncDisposable {
    /** Opens a shard for writing under an epoch. */
    open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>>;
    /** Ends writing for a shard; resolves when the pending records are written, at the latest after the timeout. */
    close(shard: ShardId, timeoutMilliseconds: number): Promise<void>;
    /** Reads all jobs of the shard. */
    load(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>>;
    /** Reads one job; this does not require ownership of its shard. */
    read(shard: ShardId, job: string): Promise<Result<JobRecord | undefined, ServiceError>>;
    /**
     * Makes a new job durable. Errors: `store_unavailable` (certainly not accepted), `store_outcome_unknown`,
     * `idempotency_key_conflict` for a key that was used with another specification, `stale_epoch`.
     */
    accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>>;
    /**
     * Writes the latest state of a job. Resolves when this state or a later one is durable. Retries through outages of
     * the table; the only errors are `stale_epoch` and `not_owner`.
     */
    update(record: JobRecord): Promise<Result<void, ServiceError>>;
    /**
     * Moves jobs without running tasks to other shards, in one transaction: the record is written to the target shard,
     * an arrival row notifies the owner of that shard, and the record in this shard becomes a pointer. Nothing may be
     * written for the jobs in this shard afterwards. Retries through outages of the table like `update`. Returns the
     * identifiers of the moved jobs; the others were left out because another writer changed one of their rows.
     */
    move(shard: ShardId, moves: readonly JobMove[]): Promise<Result<readonly string[], ServiceError>>;
    /** Reads jobs that were moved to the shard and whose arrival is not confirmed yet. */
    arrivals(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>>;
    /** Confirms arrivals under the shard's epoch and returns the confirmed jobs; only these may be started. */
    confirmArrivals(shard: ShardId, jobs: readonly string[]): Promise<Result<readonly string[], ServiceError>>;
    /** Deletes the record of a finished job and its idempotency key, in the background. */
    remove(shard: ShardId, job: string): void;
}
