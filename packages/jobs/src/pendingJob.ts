/** One job whose newest record is not durable yet, with those who wait for it. */
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
    /** Rises with each record that replaces the one before. */
    revision = 0;
    record: JobRecord;
    readonly idempotencyKey: string | undefined;
    /** The rows of the job are to be deleted. */
    removed = false;
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
        this.removed = true;
        this.revision++;
    }

    /** Resolves when the present or a later record is durable, or when it certainly never will be. */
    wait(): Promise<Result<AcceptedJob, ServiceError>> {
        return new Promise(resolve => this.waiters.push({ revision: this.revision, resolve }));
    }

    /** The record of this revision is durable. Returns whether a newer one is still to be written. */
    settle(revision: number): boolean {
        const due = this.waiters.filter(waiter => waiter.revision <= revision);
        this.waiters = this.waiters.filter(waiter => waiter.revision > revision);
        due.forEach(waiter => waiter.resolve(ok({ record: this.record, repeated: false })));
        return this.revision > revision;
    }

    /** An earlier submission with the same idempotency key led to this job. */
    repeat(first: JobRecord): void {
        this.finish(ok({ record: first, repeated: true }));
    }

    fail(error: ServiceError): void {
        this.finish(err(error));
    }

    private finish(result: Result<AcceptedJob, ServiceError>): void {
        this.waiters.splice(0).forEach(waiter => waiter.resolve(result));
    }
}
