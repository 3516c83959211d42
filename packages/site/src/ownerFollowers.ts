/** The tables that the owner of the cell follows: the list of workers, and accepted and cancelled jobs. */
import { CANCELLATIONS_TABLE, type Coordinator, JOB_PARTITIONS, JOBS_TABLE } from "@tanagerlink/coordinator";
import { decodeJson, type RecordChange, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { jobSpecificationSchema } from "@tanagerlink/workflow";
import { RecordMap } from "./recordMap.ts";
import type { TableFollower, TableFollowerOptions } from "./tableFollower.ts";
import { WorkerEntries, type WorkerSource } from "./workerEntries.ts";

export type FollowHandlers = Pick<TableFollowerOptions, "onListing" | "onChanges">;

export interface OwnerFollowersOptions {
    readonly coordinator: Coordinator;
    readonly workers: WorkerSource;
    readonly logger: Logger;
    /** Creates a follower of a table that changes constantly. */
    readonly createFollower: (table: string, partitions: readonly string[], handlers: FollowHandlers) => TableFollower;
}

export class OwnerFollowers implements Disposable {
    private readonly options: OwnerFollowersOptions;
    private readonly followers: TableFollower[] = [];
    private isDisposed = false;

    constructor(options: OwnerFollowersOptions) {
        this.options = options;
    }

    followWorkers(): void {
        const { coordinator, workers } = this.options;
        const records = new RecordMap();
        const entries = new WorkerEntries(this.options);
        const apply = (writtenAfter: number): void => {
            const listed = entries.update(records.values(), writtenAfter);
            coordinator.setWorkers(listed, entries.writtenAfter);
        };
        this.startFollower(workers.table, [workers.partition], {
            onListing: (listed, version, writtenAfter) => {
                records.replace(listed, version);
                apply(writtenAfter);
            },
            onChanges: (changes, writtenAfter) => {
                records.apply(changes);
                apply(writtenAfter);
            },
        });
    }

    /** Follows accepted and cancelled jobs, since a notification of the owner may have been lost. */
    followJobs(): void {
        const { coordinator, logger } = this.options;
        const accept = (changes: readonly (RecordChange | StoredRecord)[]): void => {
            for (const { key, value, version } of changes) {
                if (value !== undefined && !coordinator.isKnown(key, version)) {
                    decodeJson(jobSpecificationSchema, value).match(
                        specification => coordinator.accept(specification, version),
                        reason => logger.error({ job: key, reason }, "job record is invalid; the job is skipped"),
                    );
                }
            }
        };
        const cancel = (changes: readonly (RecordChange | StoredRecord)[]): void => {
            for (const { key, value, version } of changes) {
                if (value !== undefined) {
                    coordinator.cancel(key, version);
                }
            }
        };
        for (const [table, apply] of [[JOBS_TABLE, accept], [CANCELLATIONS_TABLE, cancel]] as const) {
            const handlers = { onListing: apply, onChanges: apply };
            this.startFollower(table, JOB_PARTITIONS, handlers);
        }
    }

    [Symbol.dispose](): void {
        this.isDisposed = true;
        this.followers.forEach(follower => follower[Symbol.dispose]());
    }

    private startFollower(table: string, partitions: readonly string[], handlers: FollowHandlers): void {
        if (!this.isDisposed) {
            const follower = this.options.createFollower(table, partitions, handlers);
            this.followers.push(follower);
            follower.start();
        }
    }
}
