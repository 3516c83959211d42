/** Job records in the platform's table. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import { SettledTable, type TableRow, type TableService } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { arrivalPrefix, jobKey, jobPrefix, parseJobRow } from "./jobRow.ts";
import type { AcceptedJob, JobStore } from "./jobStore.ts";
import { ShardWriter } from "./shardWriter.ts";

/** Rows in one page when the jobs of a shard are read. */
const PAGE_ROWS = 500;

/** Arrivals that are read at once; the others follow once these are confirmed. */
const ARRIVALS_AT_ONCE = 50;

const epochRowSchema = z.object({ epoch: z.int().min(0) });

export interface TableJobStoreOptions {
    readonly timers: Timers;
    readonly table: TableService;
    /** A new identifier with each call, unique over the fleet. */
    readonly nextTransactionId: () => string;
}

/** `JobStore` on the platform's table. */
export class TableJobStore implements JobStore {
    private readonly options: TableJobStoreOptions;
    private readonly table: TableService;
    private readonly writers = new Map<string, ShardWriter>();

    constructor(options: TableJobStoreOptions) {
        this.options = options;
        this.table = new SettledTable(options.table, options.timers);
    }

    async open(shard: string, epoch: number): Promise<Result<void, ServiceError>> {
        const key = `shard-epoch/${shard}`;
        const row = await this.table.read(key);
        if (row.isErr()) {
            return err(row.error);
        }
        const stored = epochRowSchema.safeParse(row.value?.value).data?.epoch;
        if (stored !== epoch) {
            const message = `shard ${shard} is at epoch ${stored ?? "none"}, not at ${epoch}`;
            return err(serviceError(ErrorKind.StaleEpoch, message));
        }
        this.writers.set(
            shard,
            new ShardWriter({
                ...this.options,
                table: this.table,
                shard,
                epoch,
                condition: { key, expectedVersion: row.value?.version ?? 0 },
            }),
        );
        return ok(undefined);
    }

    async close(shard: string, withinMilliseconds: number): Promise<void> {
        const writer = this.writers.get(shard);
        this.writers.delete(shard);
        await writer?.close(withinMilliseconds);
    }

    async load(shard: string): Promise<Result<readonly JobRecord[], ServiceError>> {
        const writer = this.writers.get(shard);
        const records: JobRecord[] = [];
        let after: string | undefined;
        for (;;) {
            const page = await this.table.readRange({
                prefix: jobPrefix(shard),
                limit: PAGE_ROWS,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr()) {
                return err(page.error);
            }
            for (const row of page.value) {
                const value = parseJobRow(row);
                if (value === undefined) {
                    return err(damaged(row));
                }
                writer?.known(row, value);
                records.push(value.record);
            }
            if (page.value.length < PAGE_ROWS) {
                return ok(records);
            }
            after = page.value.at(-1)?.key;
        }
    }

    async read(shard: string, job: string): Promise<Result<JobRecord | undefined, ServiceError>> {
        const row = await this.table.read(jobKey(shard, job));
        if (row.isErr()) {
            return err(row.error);
        }
        if (row.value === undefined) {
            return ok(undefined);
        }
        const value = parseJobRow(row.value);
        return value === undefined ? err(damaged(row.value)) : ok(value.record);
    }

    accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>> {
        const writer = this.writers.get(record.shard);
        return writer === undefined
            ? Promise.resolve(err(notOpen(record.shard)))
            : writer.accept(record, idempotencyKey);
    }

    update(record: JobRecord): Promise<Result<void, ServiceError>> {
        const writer = this.writers.get(record.shard);
        return writer === undefined ? Promise.resolve(err(notOpen(record.shard))) : writer.update(record);
    }

    move(record: JobRecord, shard: string): Promise<Result<void, ServiceError>> {
        const writer = this.writers.get(record.shard);
        return writer === undefined ? Promise.resolve(err(notOpen(record.shard))) : writer.move(record, shard);
    }

    async arrivals(shard: string): Promise<Result<readonly JobRecord[], ServiceError>> {
        const prefix = arrivalPrefix(shard);
        const rows = await this.table.readRange({ prefix, limit: ARRIVALS_AT_ONCE });
        if (rows.isErr()) {
            return err(rows.error);
        }
        const records: JobRecord[] = [];
        for (const arrival of rows.value) {
            const job = await this.table.read(jobKey(shard, arrival.key.slice(prefix.length)));
            if (job.isErr()) {
                return err(job.error);
            }
            const value = job.value === undefined ? undefined : parseJobRow(job.value);
            if (job.value !== undefined && value !== undefined) {
                this.writers.get(shard)?.arrived(arrival, job.value, value);
                records.push(value.record);
            }
        }
        return ok(records);
    }

    confirmArrival(shard: string, job: string): Promise<Result<void, ServiceError>> {
        const writer = this.writers.get(shard);
        return writer === undefined ? Promise.resolve(err(notOpen(shard))) : writer.confirmArrival(job);
    }

    remove(shard: string, job: string): void {
        this.writers.get(shard)?.remove(job);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.writers.keys()].map(shard => this.close(shard, 0)));
    }
}

function notOpen(shard: string): ServiceError {
    return serviceError(ErrorKind.NotOwner, `shard ${shard} is not open for writing in this process`);
}

function damaged(row: TableRow): ServiceError {
    const message = `row ${row.key} (version ${row.version}) is not a job record; restore it in the platform's table`;
    return serviceError(ErrorKind.Internal, message);
}
