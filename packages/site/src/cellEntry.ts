/**
 * What callers of any process can ask for. Acceptance and cancellation are one conditional write each, made by the
 * process that the caller reached; the owner is told at once and finds them in the store otherwise.
 */
import {
    CANCELLATIONS_TABLE,
    type Coordinator,
    encodeRecord,
    JOBS_TABLE,
    OWNER_PARTITION,
    partitionOf,
    PROGRESS_TABLE,
} from "@tanagerlink/coordinator";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerMethod, PeerNetwork } from "@tanagerlink/peer";
import { decodeJson, type RecordName, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";
import { findSpecificationError, type JobSpecification, JobState, progressRecordSchema } from "@tanagerlink/workflow";
import { err, ok, type Result } from "neverthrow";
import type { CellConfiguration, QueueDefinition } from "./cellConfiguration.ts";
import { acceptedMethod, cancelledMethod, pendingMethod, stateMethod } from "./relayMethods.ts";

/** Time for one call to the owner. */
const OWNER_CALL_MILLISECONDS = 700;
/** Time within which a write is tried again while its outcome is not known; under half of the callers' three seconds. */
const SETTLE_MILLISECONDS = 1_300;
/** The same while the store answers other calls, so that the outcome will be known soon. */
const SETTLE_SLOW_MILLISECONDS = 2_500;
/** The same while it is certain that nothing was written; the caller is better served by an early refusal. */
const REFUSE_MILLISECONDS = 250;
const RETRY_MILLISECONDS = 60;
/** A record must fit into the store's rows, which hold 64 KiB. */
const MOST_RECORD_BYTES = 64_000;

/** A job as a caller describes it. */
export type JobRequest = Pick<JobSpecification, "id" | "payload" | "steps" | "recurrence">;

export interface CellEntryOptions {
    readonly store: RecordStore;
    /** Whether the store is known not to answer at the moment. */
    readonly storeLost: () => boolean;
    /** Whether the store has answered this process lately, however slowly. */
    readonly storeAnswers: () => boolean;
    readonly peers: Pick<PeerNetwork, "call">;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly configuration: () => CellConfiguration | undefined;
    /** The owner in this process, if it has recovered. */
    readonly coordinator: () => Coordinator | undefined;
    /** Name of the owning process; `undefined` while there is none. */
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

    /** The team that a key belongs to. Errors: `key_missing`, `key_rejected`. Open queues need no key. */
    authorize(queue: QueueDefinition, key: string | undefined): Result<string | undefined, ServiceError> {
        const team = key === undefined ? undefined : this.options.configuration()?.keys.get(key);
        if (team !== undefined || queue.open) {
            return ok(team);
        }
        return err(
            key === undefined
                ? serviceError(ErrorKind.KeyMissing, "the call needs a key")
                : serviceError(ErrorKind.KeyRejected, "the key is not valid"),
        );
    }

    /** Accepts a job, or finds that it has been accepted. */
    async submit(
        queue: QueueDefinition,
        team: string | undefined,
        request: JobRequest,
    ): Promise<Result<void, ServiceError>> {
        const { logger } = this.options;
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
        const fault = findSpecificationError(specification);
        if (fault !== undefined) {
            return err(serviceError(ErrorKind.InvalidRequest, fault));
        }
        const value = encodeRecord(specification);
        if (value.byteLength > MOST_RECORD_BYTES) {
            return err(serviceError(ErrorKind.BodyTooLarge, "the job does not fit into one record"));
        }
        const name = { table: JOBS_TABLE, partition: partitionOf(request.id), key: request.id };
        const written = await this.writeOnce(name, value);
        if (written.isErr()) {
            logger.warn({ job: request.id, queue: queue.name, error: written.error.kind }, "job not accepted");
            return err(written.error);
        }
        if (written.value) {
            logger.info({ job: request.id, queue: queue.name, team }, "job accepted");
            void this.tellAccepted(specification);
        }
        return ok(undefined);
    }

    /** Cancels a job. Errors: `job_not_found`. */
    async cancel(id: string): Promise<Result<void, ServiceError>> {
        const { logger } = this.options;
        const known = await this.state(id);
        if (known.isErr()) {
            return err(known.error);
        }
        if (known.value === JobState.Completed || known.value === JobState.Failed) {
            return ok(undefined);
        }
        const written = await this.writeOnce(
            { table: CANCELLATIONS_TABLE, partition: partitionOf(id), key: id },
            encodeRecord({}),
        );
        if (written.isErr()) {
            return err(written.error);
        }
        logger.info({ job: id }, "job cancelled");
        const coordinator = this.options.coordinator();
        if (coordinator === undefined) {
            await this.callOwner(cancelledMethod, { id });
        }
        else {
            coordinator.cancel(id);
        }
        return ok(undefined);
    }

    /** State of a job. Errors: `job_not_found`. */
    async state(id: string): Promise<Result<JobState, ServiceError>> {
        const coordinator = this.options.coordinator();
        const told = coordinator === undefined
            ? (await this.callOwner(stateMethod, { id })).map(({ state }) => state)
            : ok(coordinator.jobState(id));
        return told.isOk() && told.value !== undefined ? ok(told.value) : await this.storedState(id);
    }

    /** Accepted jobs of a queue for which no task has started. */
    async pending(queue: string): Promise<Result<number, ServiceError>> {
        const coordinator = this.options.coordinator();
        return coordinator === undefined
            ? (await this.callOwner(pendingMethod, { queue })).map(({ count }) => count)
            : ok(coordinator.pendingJobCount(queue));
    }

    private async tellAccepted(specification: JobSpecification): Promise<void> {
        const coordinator = this.options.coordinator();
        if (coordinator !== undefined) {
            coordinator.accept(specification);
            return;
        }
        const told = await this.callOwner(acceptedMethod, specification);
        if (told.isErr()) {
            this.options.logger.debug({ job: specification.id, error: told.error.kind }, "owner not told of a job");
        }
    }

    private async callOwner<Request, Answer>(
        method: PeerMethod<Request, Answer>,
        request: Request,
    ): Promise<Result<Answer, ServiceError>> {
        const owner = this.options.owner();
        if (owner === undefined) {
            return err(serviceError(ErrorKind.NotOwner, "no process owns the cell at the moment"));
        }
        return await this.options.peers.call(owner, method, request, OWNER_CALL_MILLISECONDS);
    }

    /**
     * Writes a record that must not exist. Returns whether this call wrote it; false if it existed. An outcome that is
     * not known is settled by trying again, since only the first write can succeed.
     */
    private async writeOnce(name: RecordName, value: Uint8Array): Promise<Result<boolean, ServiceError>> {
        const { store, timers } = this.options;
        const startedAt = timers.now();
        if (this.options.storeLost()) {
            return err(serviceError(ErrorKind.StoreUnavailable, "the store does not answer at the moment"));
        }
        let unknown = false;
        for (;;) {
            const outcome = await store.commit({
                expectations: [{ ...name, expectedVersion: 0 }],
                writes: [{ ...name, value }],
                removals: [],
            });
            if (outcome.isOk()) {
                return ok(outcome.value.committed || unknown);
            }
            unknown ||= outcome.error.kind === ErrorKind.StoreOutcomeUnknown;
            const settleLimit = this.options.storeAnswers() ? SETTLE_SLOW_MILLISECONDS : SETTLE_MILLISECONDS;
            const limit = unknown ? settleLimit : REFUSE_MILLISECONDS;
            if (timers.now() + RETRY_MILLISECONDS - startedAt > limit) {
                return err(
                    unknown ? serviceError(ErrorKind.StoreOutcomeUnknown, outcome.error.message) : outcome.error,
                );
            }
            await sleep(timers, RETRY_MILLISECONDS);
        }
    }

    /** State from the store, for jobs that the owner has not heard of and while there is no owner. */
    private async storedState(id: string): Promise<Result<JobState, ServiceError>> {
        const accepted = await this.read({ table: JOBS_TABLE, partition: partitionOf(id), key: id });
        const cancelled = await this.read({ table: CANCELLATIONS_TABLE, partition: partitionOf(id), key: id });
        const progress = await this.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: id });
        if (accepted.isErr() || cancelled.isErr() || progress.isErr()) {
            return err(serviceError(ErrorKind.StoreUnavailable, "the state of the job cannot be read at the moment"));
        }
        if (accepted.value === undefined) {
            return err(serviceError(ErrorKind.JobNotFound, "there is no such job"));
        }
        if (progress.value !== undefined) {
            const record = decodeJson(progressRecordSchema, progress.value.value);
            const state = record.map(({ state }) => state).unwrapOr(JobState.Running);
            if (state === JobState.Completed || state === JobState.Failed || cancelled.value === undefined) {
                return ok(state);
            }
        }
        return ok(cancelled.value === undefined ? JobState.Queued : JobState.Cancelled);
    }

    private async read({ table, partition, key }: RecordName): Promise<Result<StoredRecord | undefined, ServiceError>> {
        const page = await this.options.store.list({ table, partition, from: key, to: `${key}\0` });
        return page.map(({ records }) => records.find(record => record.key === key));
    }
}
