/**
 * Ledger of non-idempotent requests with an idempotency key. A durable row says that the request was sent before it is
 * sent, and later holds the answer, so that a repeated request is never run a second time by any process.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import type { ObjectStore, TableRow, TableService } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { createHash, randomUUID } from "node:crypto";
import { RequestBegin, requestRowSchema, type RequestRowValue, type StoredAnswer, storedAnswer } from "./requestRow.ts";
import { ResentTransactions } from "./resentTransactions.ts";

/** Largest body kept in the row itself, in bytes. */
const MAXIMUM_ROW_BODY_BYTES = 65_536;

/** Rows examined in one pruning step. */
const PRUNE_PAGE_ROWS = 500;

export interface RequestLedgerOptions {
    readonly timers: Timers;
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly nextTransactionId: () => string;
}

/** Period and number of tries to remove a row whose request was not sent, in milliseconds; they outlast a slow table. */
const WITHDRAWAL_PERIOD_MILLISECONDS = 2_000;
const WITHDRAWAL_TRIES = 30;

/** A begun request. */
export type RequestTicket =
    | { readonly begin: typeof RequestBegin.Fresh; readonly key: string; readonly version: number; }
    | { readonly begin: typeof RequestBegin.Answered; readonly answer: ServiceAnswer; }
    | { readonly begin: typeof RequestBegin.Sent; readonly key: string; };

/** Digest of what a request asks for; equal keys with different digests are a conflict. */
export function requestDigest(request: ServiceRequest): string {
    return createHash("sha256")
        .update(JSON.stringify([request.service, request.method, request.path]))
        .update(request.body)
        .digest("base64");
}

/** Durable state of non-idempotent requests. */
export class RequestLedger {
    private readonly table: TableService;
    private readonly transactions: ResentTransactions;
    private readonly objects: ObjectStore;
    private readonly timers: Timers;
    private readonly nextTransactionId: () => string;

    constructor(options: RequestLedgerOptions) {
        this.table = options.table;
        this.transactions = new ResentTransactions(options.table, options.timers);
        this.objects = options.objects;
        this.timers = options.timers;
        this.nextTransactionId = options.nextTransactionId;
    }

    /**
     * Records that the request is about to be sent, or finds the earlier one. Errors: `store_unavailable` and
     * `store_outcome_unknown` (the request was not sent), `idempotency_key_conflict`.
     */
    async begin(request: ServiceRequest, idempotencyKey: string): Promise<Result<RequestTicket, ServiceError>> {
        const key = `request/${request.team}/${encodeURIComponent(idempotencyKey)}`;
        const value: RequestRowValue = {
            requestId: request.id,
            digest: requestDigest(request),
            sentAt: this.timers.wallClock(),
        };
        const answer = await this.transactions.commit({
            id: this.nextTransactionId(),
            conditions: [],
            writes: [{ key, expectedVersion: 0, value }],
        });
        if (answer.isErr()) {
            // The request itself was not sent, so the refusal is a true "not run" even when the row was written.
            if (answer.error.kind === ErrorKind.StoreOutcomeUnknown) {
                void this.withdraw(key, request.id);
            }
            return err(serviceError(ErrorKind.StoreUnavailable, answer.error.message));
        }
        if (answer.value.committed) {
            return ok({ begin: RequestBegin.Fresh, key, version: answer.value.versions[key] ?? 1 });
        }
        const row = answer.value.rows.find(candidate => candidate.key === key);
        return row === undefined
            ? err(serviceError(ErrorKind.StoreUnavailable, "the row of the idempotency key changed meanwhile"))
            : this.found(row, value.digest);
    }

    /** Looks whether an earlier request has been answered meanwhile. */
    async look(request: ServiceRequest, key: string): Promise<Result<RequestTicket, ServiceError>> {
        const row = await this.table.read(key);
        if (row.isErr()) {
            return err(row.error);
        }
        return row.value === undefined
            ? ok({ begin: RequestBegin.Sent, key })
            : this.found(row.value, requestDigest(request));
    }

    /** Records the answer. A failure is not told to the caller: its answer is right, only a repeat can't get it. */
    async complete(
        ticket: Extract<RequestTicket, { begin: "fresh"; }>,
        request: ServiceRequest,
        answer: ServiceAnswer,
    ): Promise<Result<void, ServiceError>> {
        const object = answer.body.byteLength > MAXIMUM_ROW_BODY_BYTES ? `request-answers/${randomUUID()}` : undefined;
        if (object !== undefined) {
            const stored = await this.objects.put(object, answer.body);
            if (stored.isErr()) {
                return err(stored.error);
            }
        }
        const value: RequestRowValue = {
            requestId: request.id,
            digest: requestDigest(request),
            sentAt: this.timers.wallClock(),
            answer: storedAnswer(answer, object),
        };
        return this.write(ticket, value);
    }

    /** Forgets a request that was certainly not run, so that a repeat may run it. */
    abandon(ticket: Extract<RequestTicket, { begin: "fresh"; }>): Promise<Result<void, ServiceError>> {
        return this.write(ticket, undefined);
    }

    /**
     * Deletes rows whose request was sent before `oldest` (wall clock), with the bodies of their answers. Returns how
     * many were deleted.
     */
    async prune(oldest: number): Promise<Result<number, ServiceError>> {
        let deleted = 0;
        let after: string | undefined;
        for (;;) {
            const page = await this.table.readRange({
                prefix: "request/",
                limit: PRUNE_PAGE_ROWS,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr()) {
                return err(page.error);
            }
            const old = page.value.filter(row =>
                (requestRowSchema.safeParse(row.value).data?.sentAt ?? oldest) < oldest
            );
            for (const row of old) {
                deleted += await this.remove(row) ? 1 : 0;
            }
            if (page.value.length < PRUNE_PAGE_ROWS) {
                return ok(deleted);
            }
            after = page.value.at(-1)?.key;
        }
    }

    /**
     * Removes the row of a request that was not sent, should its write have taken effect or still do so. With the row left
     * in place, repeats would be told that the outcome is unknown.
     */
    private async withdraw(key: string, requestId: string): Promise<void> {
        for (let tries = 0; tries < WITHDRAWAL_TRIES; tries++) {
            await sleep(this.timers, WITHDRAWAL_PERIOD_MILLISECONDS);
            const row = await this.table.read(key);
            const found = row.isOk() ? row.value : undefined;
            const value = requestRowSchema.safeParse(found?.value).data;
            if (found === undefined || value === undefined) {
                continue;
            }
            if (value.requestId !== requestId || value.answer !== undefined) {
                return;
            }
            if ((await this.write({ key, version: found.version }, undefined)).isOk()) {
                return;
            }
        }
    }

    /** The object goes first: a row that stays is found by the next run, an object without its row is not. */
    private async remove(row: TableRow): Promise<boolean> {
        const object = requestRowSchema.safeParse(row.value).data?.answer?.object;
        if (object !== undefined && (await this.objects.delete(object)).isErr()) {
            return false;
        }
        return (await this.write({ key: row.key, version: row.version }, undefined)).isOk();
    }

    private async write(
        ticket: Pick<Extract<RequestTicket, { begin: "fresh"; }>, "key" | "version">,
        value: RequestRowValue | undefined,
    ): Promise<Result<void, ServiceError>> {
        const answer = await this.transactions.commit({
            id: this.nextTransactionId(),
            conditions: [],
            writes: [{ key: ticket.key, expectedVersion: ticket.version, value }],
        });
        return answer.andThen(({ committed }) =>
            committed ? ok(undefined) : err(serviceError(ErrorKind.Internal, `row ${ticket.key} was changed meanwhile`))
        );
    }

    private async found(row: TableRow, digest: string): Promise<Result<RequestTicket, ServiceError>> {
        const parsed = requestRowSchema.safeParse(row.value);
        if (!parsed.success) {
            return err(serviceError(ErrorKind.Internal, `row ${row.key} is not the record of a request`));
        }
        if (parsed.data.digest !== digest) {
            const message = "the idempotency key was used before with another request";
            return err(serviceError(ErrorKind.IdempotencyKeyConflict, message));
        }
        if (parsed.data.answer === undefined) {
            return ok({ begin: RequestBegin.Sent, key: row.key });
        }
        const answer = await this.restore(parsed.data.answer);
        return answer.map(restored => ({ begin: RequestBegin.Answered, answer: restored }));
    }

    private async restore(stored: StoredAnswer): Promise<Result<ServiceAnswer, ServiceError>> {
        const { body, object, ...rest } = stored;
        if (object === undefined) {
            return ok({ ...rest, body: Buffer.from(body ?? "", "base64") });
        }
        const content = await this.objects.get(object);
        if (content.isErr()) {
            return err(content.error);
        }
        return content.value === undefined
            ? err(serviceError(ErrorKind.StoreUnavailable, `the stored answer ${object} is missing`))
            : ok({ ...rest, body: content.value });
    }
}
