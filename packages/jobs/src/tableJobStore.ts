/** Job store on the platform's table. Writes go through the group commit of the shard. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord, ShardId } from "@tanagerlink/model";
import type { TableRow, TableService } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, Result } from "neverthrow";
import * as z from "zod";
import type { JobMove } from "./jobMove.ts";
import { arrivalPrefix, jobKey, jobPrefix, parseJobRow, submissionKeyOfRow } from "./jobRow.ts";
import { JobRowVersions } from "./jobRowVersions.ts";
import type { AcceptedJob, JobStore } from "./jobStore.ts";
import { type CommitBounds, defaultCommitBounds, ShardCommits } from "./shardCommits.ts";

/** Rows in each page when the jobs of a shard are loaded. */
const PAGE_ROWS = 500;
/** Arrivals that are read at once; further ones are read after these are confirmed. */
const ARRIVAL_PAGE_ROWS = 50;

const epochRowSchema = z.object({ epoch: z.int().min(0) });

export interface TableJobStoreOptions {
    readonly timers: Timers;
    readonly table: TableService;
    /** Returns a new identifier on each call, unique across the fleet. */
    readonly nextTransactionId: () => string;
    /** Overrides of the default bounds. */
    readonly bounds?: Partial<CommitBounds>;
}

/** `JobStore` on the platform's table. */
export class TableJobStore implements JobStore {
    private readonly options: TableJobStoreOptions;
    private readonly shards = new Map<ShardId, ShardCommits>();

    constructor(options: TableJobStoreOptions) {
        this.options = options;
    }

    /** Once this has resolved, no write of a previous owner can take effect any more, so `load` reads all jobs. */
    async open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>> {
        const { timers, table, nextTransactionId, bounds } = this.options;
        const key = `shard-epoch/${shard}`;
        const row = await table.read(key);
        if (row.isErr()) {
            return err(row.error);
        }
        const stored = epochRowSchema.safeParse(row.value?.value).data?.epoch;
        if (stored !== epoch) {
            const message = `Shard ${shard} is at epoch ${stored ?? "none"} in the table, not at ${epoch}.`;
            return err(serviceError(ErrorKind.StaleEpoch, message));
        }
        this.shards.get(shard)?.close(notOpenError(shard));
        this.shards.set(
            shard,
            new ShardCommits({
                shard,
                epoch,
                condition: { key, expectedVersion: row.value?.version ?? 0 },
                timers,
                table,
                nextTransactionId,
                rowVersions: new JobRowVersions(),
                bounds: { ...defaultCommitBounds, ...bounds },
            }),
        );
        return ok(undefined);
    }

    async close(shard: ShardId, timeoutMilliseconds: number): Promise<void> {
        const commits = this.shards.get(shard);
        this.shards.delete(shard);
        if (commits !== undefined) {
            await Promise.race([commits.flush(), sleep(this.options.timers, timeoutMilliseconds)]);
            commits.close(notOpenError(shard));
        }
    }

    async load(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>> {
        const commits = this.shards.get(shard);
        const records: JobRecord[] = [];
        for (let after: string | undefined = jobPrefix(shard); after !== undefined;) {
            const page: Result<readonly TableRow[], ServiceError> = await this.options.table.readRange({
                prefix: jobPrefix(shard),
                after,
                limit: PAGE_ROWS,
            });
            if (page.isErr()) {
                return err(page.error);
            }
            for (const row of page.value) {
                const value = parseJobRow(row);
                if (value === undefined) {
                    return err(damagedRowError(row));
                }
                commits?.rowVersions.set(value.record.id, row.version, submissionKeyOfRow(value));
                records.push(value.record);
            }
            after = page.value.length < PAGE_ROWS ? undefined : page.value.at(-1)?.key;
        }
        return ok(records);
    }

    async read(shard: ShardId, job: string): Promise<Result<JobRecord | undefined, ServiceError>> {
        const row = await this.options.table.read(jobKey(shard, job));
        if (row.isErr() || row.value === undefined) {
            return row.map(() => undefined);
        }
        const value = parseJobRow(row.value);
        return value === undefined ? err(damagedRowError(row.value)) : ok(value.record);
    }

    async accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>> {
        return await this.shards.get(record.shard)?.accept(record, idempotencyKey) ?? err(notOpenError(record.shard));
    }

    async update(record: JobRecord): Promise<Result<void, ServiceError>> {
        return await this.shards.get(record.shard)?.update(record) ?? err(notOpenError(record.shard));
    }

    async move(shard: ShardId, moves: readonly JobMove[]): Promise<Result<readonly string[], ServiceError>> {
        return await this.shards.get(shard)?.move(moves) ?? err(notOpenError(shard));
    }

    async arrivals(shard: ShardId): Promise<Result<readonly JobRecord[], ServiceError>> {
        const prefix = arrivalPrefix(shard);
        const rows = await this.options.table.readRange({ prefix, limit: ARRIVAL_PAGE_ROWS });
        if (rows.isErr()) {
            return err(rows.error);
        }
        const jobRows = await Promise.all(
            rows.value.map(({ key }) => this.options.table.read(jobKey(shard, key.slice(prefix.length)))),
        );
        return Result.combine(jobRows).map(found =>
            found.flatMap((row, index) => {
                const arrival = rows.value[index];
                const value = row === undefined ? undefined : parseJobRow(row);
                if (arrival === undefined || row === undefined || value === undefined) {
                    return [];
                }
                this.shards.get(shard)?.recordArrival(arrival, row, value);
                return [value.record];
            })
        );
    }

    async confirmArrivals(shard: ShardId, jobs: readonly string[]): Promise<Result<readonly string[], ServiceError>> {
        return await this.shards.get(shard)?.confirmArrivals(jobs) ?? err(notOpenError(shard));
    }

    remove(shard: ShardId, job: string): void {
        this.shards.get(shard)?.remove(job);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.shards.keys()].map(shard => this.close(shard, 0)));
    }
}

function notOpenError(shard: ShardId): ServiceError {
    return serviceError(ErrorKind.NotOwner, `Shard ${shard} is not open for writing in this process.`);
}

function damagedRowError(row: TableRow): ServiceError {
    const message =
        `Row ${row.key} (version ${row.version}) is not a valid job record; restore it in the platform's table.`;
    return serviceError(ErrorKind.Internal, message);
}
