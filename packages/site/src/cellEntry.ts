/**
 * The operations that any process offers to callers. The process that receives a submission or cancellation stores it
 * with one conditional write and notifies the owner at once. The owner finds missed ones in the store.
 */
import {
    CANCELLATIONS_TABLE,
    type Coordinator,
    encodeJson,
    JOBS_TABLE,
    OWNER_PARTITION,
    partitionOf,
    PROGRESS_TABLE,
} from "@tanagerlink/coordinator";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerMethod, PeerNetwork } from "@tanagerlink/peer";
import {
    decodeJson,
    DEFAULT_ROW_BYTES,
    type RecordName,
    type RecordStore,
    type StoredRecord,
} from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";
import { findSpecificationError, type JobSpecification, JobState, progressRecordSchema } from "@tanagerlink/workflow";
import { err, ok, type Result } from "neverthrow";
import type { CellConfiguration, QueueDefinition } from "./cellConfiguration.ts";
import {
    countPendingJobsMethod,
    notifyJobAcceptedMethod,
    notifyJobCancelledMethod,
    readJobStateMethod,
} from "./relayMethods.ts";

const OWNER_CALL_TIMEOUT_MILLISECONDS = 700;
/** A write with an unknown outcome is retried for this long: less than half of the callers' three seconds. */
const UNKNOWN_OUTCOME_RETRY_LIMIT_MILLISECONDS = 1_300;
/** The same while the store responds to other calls, so that the outcome will be known soon. */
const SLOW_STORE_RETRY_LIMIT_MILLISECONDS = 2_500;
/** The same while it is certain that nothing was written; an early refusal is better for the caller. */
const NOT_WRITTEN_RETRY_LIMIT_MILLISECONDS = 250;
const RETRY_DELAY_MILLISECONDS = 60;
/** Part of a row that is left free. */
const ROW_MARGIN_BYTES = 1_536;

/** The part of a job's specification that the caller provides. */
export type JobRequest = Pick<JobSpecification, "id" | "payload" | "steps" | "recurrence">;

export interface CellEntryOptions {
    readonly store: RecordStore;
    /** Maximum size of a record in the store. */
    readonly rowBytes?: number | undefined;
    /** Whether the store is known to be unreachable, directly and through peers. */
    readonly isStoreLost: () => boolean;
    /** Whether the store has recently responded to this process, however slowly. */
    readonly isStoreResponding: () => boolean;
    readonly peers: Pick<PeerNetwork, "call">;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly configuration: () => CellConfiguration | undefined;
    /** The coordinator, if this process owns the cell and has recovered its state. */
    readonly coordinator: () => Coordinator | undefined;
    /** Node that owns the cell; `undefined` while there is none. */
    readonly owner: () => string | undefined;
}

export class CellEntry {
    private readonly options: CellEntryOptions;

    constructor(options: CellEntryOptions) {
        this.options = options;
    }

    get configuration(): CellConfiguration | undefined {
        return this.options.configuration();
    }

    /** Returns the team of an API key. Public queues need no key. Errors: `key_missing`, `key_rejected`. */
    authorize(queue: QueueDefinition, key: string | undefined): Result<string | undefined, ServiceError> {
        const team = key === undefined ? undefined : this.options.configuration()?.keys.get(key);
        if (team !== undefined || queue.isPublic) {
            return ok(team);
        }
        return err(
            key === undefined
                ? serviceError(ErrorKind.KeyMissing, "the queue requires an API key")
                : serviceError(ErrorKind.KeyRejected, "the API key is not valid"),
        );
    }

    /** Accepts a job. Succeeds without effect if the job was accepted before. */
    async submit(
        queue: QueueDefinition,
        team: string | undefined,
        request: JobRequest,
    ): Promise<Result<void, ServiceError>> {
        const { logger, rowBytes = DEFAULT_ROW_BYTES } = this.options;
        const specification: JobSpecification = {
            ...request,
            queue: queue.name,
            service: queue.service,
            team,
            priority: queue.priority,
            maximumAttempts: queue.maximumAttempts,
            hinted: queue.hinted,
            hintMilliseconds: queue.hintMilliseconds,
            hintValidityMilliseconds: queue.hintValidityMilliseconds,
        };
        const specificationError = findSpecificationError(specification);
        if (specificationError !== undefined) {
            return err(serviceError(ErrorKind.InvalidRequest, specificationError));
        }
        const value = encodeJson(specification);
        const maximumBytes = rowBytes - ROW_MARGIN_BYTES;
        if (value.byteLength > maximumBytes) {
            return err(
                serviceError(
                    ErrorKind.BodyTooLarge,
                    `the job takes ${value.byteLength} bytes; a record holds at most ${maximumBytes}`,
                ),
            );
        }
        const name = { table: JOBS_TABLE, partition: partitionOf(request.id), key: request.id };
        const written = await this.writeOnce(name, value);
        if (written.isErr()) {
            logger.warn({ job: request.id, queue: queue.name, error: written.error.kind }, "job not accepted");
            return err(written.error);
        }
        if (written.value) {
            logger.info({ job: request.id, queue: queue.name, team }, "job accepted");
            void this.notifyOwnerOfJob(specification);
        }
        return ok(undefined);
    }

    /** Cancels a job. Errors: `job_not_found`. */
    async cancel(id: string): Promise<Result<void, ServiceError>> {
        const { logger } = this.options;
        const state = await this.jobState(id);
        if (state.isErr()) {
            return err(state.error);
        }
        if (state.value === JobState.Completed || state.value === JobState.Failed) {
            return ok(undefined);
        }
        const written = await this.writeOnce(
            { table: CANCELLATIONS_TABLE, partition: partitionOf(id), key: id },
            encodeJson({}),
        );
        if (written.isErr()) {
            return err(written.error);
        }
        logger.info({ job: id }, "job cancelled");
        const coordinator = this.options.coordinator();
        if (coordinator === undefined) {
            await this.callOwner(notifyJobCancelledMethod, { id });
        }
        else {
            coordinator.cancel(id);
        }
        return ok(undefined);
    }

    /** Returns the state of a job. Errors: `job_not_found`. */
    async jobState(id: string): Promise<Result<JobState, ServiceError>> {
        const coordinator = this.options.coordinator();
        const state = coordinator === undefined
            ? (await this.callOwner(readJobStateMethod, { id })).map(({ state }) => state)
            : ok(coordinator.jobState(id));
        return state.isOk() && state.value !== undefined ? ok(state.value) : await this.readStoredJobState(id);
    }

    /** Number of accepted jobs of a queue that have not started a task yet. */
    async pendingJobCount(queue: string): Promise<Result<number, ServiceError>> {
        const coordinator = this.options.coordinator();
        return coordinator === undefined
            ? (await this.callOwner(countPendingJobsMethod, { queue })).map(({ count }) => count)
            : ok(coordinator.pendingJobCount(queue));
    }

    private async notifyOwnerOfJob(specification: JobSpecification): Promise<void> {
        const coordinator = this.options.coordinator();
        if (coordinator !== undefined) {
            coordinator.accept(specification);
            return;
        }
        const notified = await this.callOwner(notifyJobAcceptedMethod, specification);
        if (notified.isErr()) {
            this.options.logger.debug(
                { job: specification.id, error: notified.error.kind },
                "owner not notified of accepted job",
            );
        }
    }

    private async callOwner<Request, Answer>(
        method: PeerMethod<Request, Answer>,
        request: Request,
    ): Promise<Result<Answer, ServiceError>> {
        const owner = this.options.owner();
        if (owner === undefined) {
            return err(serviceError(ErrorKind.NotOwner, "no process owns the cell at present"));
        }
        return await this.options.peers.call(owner, method, request, OWNER_CALL_TIMEOUT_MILLISECONDS);
    }

    /**
     * Writes a record that must not exist yet. Returns whether this call wrote it; false if it existed. A write with an
     * unknown outcome can be retried, since only one write can succeed.
     */
    private async writeOnce(name: RecordName, value: Uint8Array): Promise<Result<boolean, ServiceError>> {
        const { store, timers } = this.options;
        const startedAt = timers.now();
        if (this.options.isStoreLost()) {
            return err(
                serviceError(ErrorKind.StoreUnavailable, "the store is unreachable, both directly and through peers"),
            );
        }
        let isOutcomeUnknown = false;
        for (;;) {
            const outcome = await store.commit({
                expectations: [{ ...name, expectedVersion: 0 }],
                writes: [{ ...name, value }],
                removals: [],
            });
            if (outcome.isOk()) {
                return ok(outcome.value.committed || isOutcomeUnknown);
            }
            if (outcome.error.kind === ErrorKind.StoreRefused) {
                return err(outcome.error);
            }
            isOutcomeUnknown ||= outcome.error.kind === ErrorKind.StoreOutcomeUnknown;
            const unknownOutcomeLimit = this.options.isStoreResponding()
                ? SLOW_STORE_RETRY_LIMIT_MILLISECONDS
                : UNKNOWN_OUTCOME_RETRY_LIMIT_MILLISECONDS;
            const limit = isOutcomeUnknown ? unknownOutcomeLimit : NOT_WRITTEN_RETRY_LIMIT_MILLISECONDS;
            if (timers.now() + RETRY_DELAY_MILLISECONDS - startedAt > limit) {
                return err(
                    isOutcomeUnknown
                        ? serviceError(ErrorKind.StoreOutcomeUnknown, outcome.error.message)
                        : outcome.error,
                );
            }
            await sleep(timers, RETRY_DELAY_MILLISECONDS);
        }
    }

    /** Reads the state from the store, for jobs that the owner does not know and while there is no owner. */
    private async readStoredJobState(id: string): Promise<Result<JobState, ServiceError>> {
        const accepted = await this.readRecord({ table: JOBS_TABLE, partition: partitionOf(id), key: id });
        const cancelled = await this.readRecord({ table: CANCELLATIONS_TABLE, partition: partitionOf(id), key: id });
        const progress = await this.readRecord({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: id });
        if (accepted.isErr() || cancelled.isErr() || progress.isErr()) {
            return err(serviceError(ErrorKind.StoreUnavailable, "the state of the job cannot be read from the store"));
        }
        if (accepted.value === undefined) {
            return err(serviceError(ErrorKind.JobNotFound, `there is no job ${id}`));
        }
        // Older progress is that of an earlier job with the same identifier.
        if (progress.value !== undefined && progress.value.version > accepted.value.version) {
            const record = decodeJson(progressRecordSchema, progress.value.value);
            const state = record.map(({ state }) => state).unwrapOr(JobState.Running);
            if (state === JobState.Completed || state === JobState.Failed || cancelled.value === undefined) {
                return ok(state);
            }
        }
        return ok(cancelled.value === undefined ? JobState.Queued : JobState.Cancelled);
    }

    private async readRecord(
        { table, partition, key }: RecordName,
    ): Promise<Result<StoredRecord | undefined, ServiceError>> {
        const page = await this.options.store.list({ table, partition, from: key, to: `${key}\0` });
        return page.map(({ records }) => records.find(record => record.key === key));
    }
}
