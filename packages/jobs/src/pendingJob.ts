/** One job whose latest record is not durable yet, and the callers that wait for it. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import type { AcceptedJob } from "./jobStore.ts";

interface Waiter {
    readonly revision: number;
    readonly resolve: (result: Result<AcceptedJob, ServiceError>) => void;
}

/** @internal */
export class PendingJob {
    /** Incremented with each change of the record. */
    revision = 0;
    record: JobRecord;
    readonly idempotencyKey: string | undefined;
    /** Whether the rows of the job are to be deleted. */
    isRemoved = false;
    private waiters: Waiter[] = [];

    constructor(record: JobRecord, idempotencyKey?: string) {
        this.record = record;
        this.idempotencyKey = idempotencyKey;
    }

    replace(record: JobRecord): void {
        this.record = record;
        this.revision++;
    }

    remove(): void {
        this.isRemoved = true;
        this.revision++;
    }

    /** Resolves when the current or a later record is durable, or when the write has failed. */
    waitUntilDurable(): Promise<Result<AcceptedJob, ServiceError>> {
        return new Promise(resolve => this.waiters.push({ revision: this.revision, resolve }));
    }

    /** Resolves the callers that wait for this or an earlier revision. Returns whether a newer one is unwritten. */
    markDurable(revision: number): boolean {
        const settled = this.waiters.filter(waiter => waiter.revision <= revision);
        this.waiters = this.waiters.filter(waiter => waiter.revision > revision);
        settled.forEach(waiter => waiter.resolve(ok({ record: this.record, repeated: false })));
        return this.revision > revision;
    }

    /** Resolves all callers with the job of an earlier submission with the same idempotency key. */
    resolveAsRepeated(first: JobRecord): void {
        this.resolveWaiters(ok({ record: first, repeated: true }));
    }

    fail(error: ServiceError): void {
        this.resolveWaiters(err(error));
    }

    private resolveWaiters(result: Result<AcceptedJob, ServiceError>): void {
        this.waiters.splice(0).forEach(waiter => waiter.resolve(result));
    }
}
